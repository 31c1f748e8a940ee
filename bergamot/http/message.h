#pragma once

// HTTP messages as values, free of any library's types. Shared by the server, the client and every handler.
//
//     responder->reply(HttpResponse{.status = 200, .body = "{}"});

#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "bergamot/base/error.h"

namespace bergamot
{

/// Orders header names without regard to case.
struct HeaderNameLess
{
    using is_transparent = void;
    bool operator()(std::string_view left, std::string_view right) const;
};

using HttpHeaders = std::map<std::string, std::string, HeaderNameLess>;

struct HttpRequest
{
    std::string method = "GET";
    std::string path = "/"; // decoded, without the query
    std::map<std::string, std::string> query; // decoded
    HttpHeaders headers;
    std::string body;
};

struct HttpResponse
{
    int status = 200;
    HttpHeaders headers;
    std::string body;
    std::string contentType = "application/json";
};

/// Answers one request. Thread-safe; the first of `reply` and `beginStream` wins, later ones are ignored. A responder
/// that is dropped without an answer replies 500.
class Responder
{
public:
    virtual ~Responder() = default;
    virtual void reply(HttpResponse response) = 0;
    /// Starts an answer whose body follows in chunks; `head.body` is ignored.
    virtual void beginStream(HttpResponse head) = 0;
    /// Sends one chunk at once. False if the caller has gone or does not take what was sent before; the work for it can
    /// then be cancelled.
    virtual bool write(std::string_view chunk) = 0;
    /// Whether the stream was aborted because its caller did not take it.
    virtual bool callerTooSlow() const
    {
        return false;
    }
    virtual void endStream() = 0;
    /// Ends a started stream so that the caller sees it as broken, never as whole.
    virtual void abortStream() = 0;
};

using ResponderPtr = std::shared_ptr<Responder>;

/// The value of header `name`, or `fallback`.
std::string headerOr(const HttpHeaders &headers, std::string_view name, std::string fallback);

/// The answer that tells a caller of `error`: status by its code, `Retry-After` (whole seconds, at least 1) where it
/// has one, body `{"error": code, "message": text}`.
HttpResponse errorResponse(const Error &error);

} // namespace bergamot
