#pragma once

// Errors as return values. Every fallible function of this project returns a `Result<T>`; exceptions thrown by
// libraries are caught at the call and converted to an `Error`. Only a violated invariant aborts the process.
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
    InvalidArgument, // the input is malformed; a retry cannot succeed
    NotFound,
    Conflict, // the input is well formed but conflicts with the current state
    Expired, // the requested position is older than the oldest retained one
    Overloaded, // rejected by a limit before any work was done
    Unavailable, // certain not to have taken effect
    Unknown, // may or may not have taken effect; retry with the same id
    DeadlineExceeded, // the deadline has passed; may or may not have taken effect
    Cancelled,
    Internal,
};

/// The kebab-case name of `code`, as it appears in HTTP bodies and log records.
std::string_view errorCodeName(ErrorCode code);

/// `code` and `retryAfter` are for programs; `message` is for people and names the field and, if any, the remedy.
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

/// Returns an error that converts to any `Result<T>`.
tl::unexpected<Error> failure(ErrorCode code, std::string message);
tl::unexpected<Error> failure(ErrorCode code, std::string message, std::chrono::milliseconds retryAfter);

} // namespace bergamot
