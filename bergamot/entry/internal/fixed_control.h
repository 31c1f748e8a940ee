#pragma once

// A ControlLink for benchmarks: returns the same view, with one endpoint, for every request, and has no idempotency
// keys.
//
//     auto control = std::make_shared<FixedControl>(inner::EndpointKind::Engine, "agent", address);

#include <memory>
#include <string>

#include "bergamot/config/configuration.h"
#include "bergamot/entry/control_link.h"

namespace bergamot
{

/// Thread-safe.
class FixedControl final : public ControlLink
{
public:
    /// `serves` is the service or model that `endpoint` serves.
    FixedControl(inner::EndpointKind kind, const std::string &serves, const Address &endpoint)
        : m_view(std::make_shared<inner::ViewT>())
    {
        Configuration configuration;
        configuration.version = 1;
        configuration.services[ServiceId(serves)].service = ServiceId(serves);
        configuration.models[ModelId(serves)].model = ModelId(serves);
        m_view->config_version = 1;
        m_view->configuration = toJson(configuration).serialize();
        m_view->confirmed = true;
        auto registered = std::make_unique<inner::EndpointT>();
        registered->id = "endpoint-1";
        registered->kind = kind;
        registered->serves = serves;
        registered->domain = "a";
        registered->address = toString(endpoint);
        registered->reachable = true;
        registered->slots = Slots;
        m_view->endpoints.push_back(std::move(registered));
    }

    void fetchView(const ViewQuery & /*query*/, Callback<ViewUpdate> done) override
    {
        done(ViewUpdate{.hash = 1, .view = m_view});
    }

    void claimKey(const inner::KeyClaimT & /*claim*/,
                  std::chrono::milliseconds /*timeout*/,
                  Callback<inner::KeyClaimReplyT> done) override
    {
        done(failure(ErrorCode::Unavailable, "FixedControl does not support idempotency keys"));
    }

    void recordKey(const inner::KeyOutcomeT & /*outcome*/) override
    { }

private:
    static constexpr std::uint32_t Slots = 64;

    std::shared_ptr<inner::ViewT> m_view;
};

} // namespace bergamot
