#include "bergamot/routing/request.h"

#include <array>

namespace bergamot
{

std::string_view refusalReasonName(RefusalReason reason)
{
    static constexpr std::array<std::string_view, 14> Names{
        "unknown-target",
        "shutting-down",
        "queue-full",
        "deadline-too-short",
        "no-endpoint",
        "retries-exhausted",
        "key-unavailable",
        "key-in-progress",
        "key-mismatch",
        "crash-suspect",
        "attempt-failed",
        "deadline-passed",
        "no-such-software",
        "limit-reached",
    };
    return Names.at(static_cast<std::size_t>(reason));
}

std::string serviceTarget(const ServiceId &service)
{
    return "service/" + service.value();
}

std::string modelTarget(const ModelId &model)
{
    return "model/" + model.value();
}

} // namespace bergamot
