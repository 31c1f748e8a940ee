#include "bergamot/base/error.h"

namespace bergamot
{

std::string_view errorCodeName(ErrorCode code)
{
    switch (code) {
    case ErrorCode::InvalidArgument:
        return "invalid-argument";
    case ErrorCode::NotFound:
        return "not-found";
    case ErrorCode::Conflict:
        return "conflict";
    case ErrorCode::Expired:
        return "expired";
    case ErrorCode::Overloaded:
        return "overloaded";
    case ErrorCode::Unavailable:
        return "unavailable";
    case ErrorCode::Unknown:
        return "unknown";
    case ErrorCode::DeadlineExceeded:
        return "deadline-exceeded";
    case ErrorCode::Cancelled:
        return "cancelled";
    case ErrorCode::Internal:
        return "internal";
    }
    return "internal";
}

tl::unexpected<Error> failure(ErrorCode code, std::string message)
{
    return tl::unexpected(Error{code, std::move(message), std::nullopt});
}

tl::unexpected<Error> failure(ErrorCode code, std::string message, std::chrono::milliseconds retryAfter)
{
    return tl::unexpected(Error{code, std::move(message), retryAfter});
}

} // namespace bergamot
