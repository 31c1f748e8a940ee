#pragma once

// An HTTP client on cpprestsdk whose failures say whether the request can have run. The library sends a POST again by
// itself when a pooled connection closes without an answer; a call that must not be repeated therefore asks for a
// fresh connection.
//
//     HttpClient client;
//     client.call(address, request, {.timeout = 2s, .repeatable = false}, [](CallOutcome outcome) { ... });

#include <chrono>
#include <functional>
#include <memory>
#include <string>

#include "bergamot/base/address.h"
#include "bergamot/http/message.h"

namespace bergamot
{

/// What is known about a request that got no whole answer.
enum class Delivery {
    NotSent, // proved: the connection never opened
    MaybeRan, // the connection opened; the other side may have acted
};

struct CallFailure
{
    Delivery delivery = Delivery::MaybeRan;
    bool timedOut = false;
    std::string message;
};

using CallOutcome = tl::expected<HttpResponse, CallFailure>;

struct CallOptions
{
    std::chrono::milliseconds timeout{1000}; // for the whole call
    std::size_t maxResponseBytes = std::size_t{64} * 1024 * 1024; // of the body; not for streams
    bool repeatable = true; // false: never sent on a connection that was used before
};

/// A call in flight.
class PendingCall
{
public:
    virtual ~PendingCall() = default;
    /// Ends the call; its callback gets `MaybeRan` unless it has run already.
    virtual void cancel() = 0;
};

/// Thread-safe. Callbacks run once, on the library's threads, and must not block.
class HttpClient
{
public:
    using Done = std::function<void(CallOutcome outcome)>;
    /// Receives the head (with an empty body) once, then chunks as they arrive; false cancels the call.
    struct StreamSink
    {
        std::function<void(const HttpResponse &head)> head;
        std::function<bool(std::string_view chunk)> chunk;
    };

    HttpClient();
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    std::shared_ptr<PendingCall> call(const Address &to, HttpRequest request, CallOptions options, Done done);
    /// As `call`, with the body handed over as it arrives. `done` gets the head and an empty body at the end;
    /// a gap of `options.timeout` without a byte ends the call.
    std::shared_ptr<PendingCall>
    callStreaming(const Address &to, HttpRequest request, CallOptions options, StreamSink sink, Done done);
    /// Drops every idle connection to `to`; calls in flight go on. Used when one of them went silent.
    void dropConnections(const Address &to);

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace bergamot
