#pragma once

// Outcomes as values. Every fallible function of this project returns a `Result<T>`; exceptions of libraries
// are caught at the call and turned into one. Only a broken invariant ends the process.
//
//     Result<Address> address = parseAddress("127.0.0.1:8080");
//     if (!address) {
//         return tl::unexpected(address.error());
//     }

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

namespace bergamot
{

enum class ErrorCode {
    InvalidArgument, // the input is malformed; sending it again cannot help
    NotFound,
    Conflict, // the input is well formed but collides with the present state
    Expired, // the position asked for is older than what is retained
    Overloaded, // refused by a limit, before any work was done
    Unavailable, // proved not to have taken effect
    Unknown, // may or may not have taken effect; ask again with the same id
    DeadlineExceeded, // may or may not have taken effect; the time is over
    Cancelled,
    Internal,
};

/// The name of `code` in lower case with hyphens, as it appears in HTTP bodies and log records.
std::string_view errorCodeName(ErrorCode code);

/// What went wrong, for a program (`code`, `retryAfter`) and for a person (`message`: names the field and the remedy).
struct Error
{
    ErrorCode code = ErrorCode::Internal;
    std::string message;
    std::optional<std::chrono::milliseconds> retryAfter = std::nullopt;

    bool operator==(const Error &) const = default;
};

template<typename T>
using Result = tl::expected<T, Error>;

/// Receives the outcome of an asynchronous call, exactly once, on a thread that the callee chooses.
template<typename T>
using Callback = std::function<void(Result<T>)>;

/// Shorthand for the failed branch of a `Result`.
tl::unexpected<Error> failure(ErrorCode code, std::string message);
tl::unexpected<Error> failure(ErrorCode code, std::string message, std::chrono::milliseconds retryAfter);

} // namespace bergamot
