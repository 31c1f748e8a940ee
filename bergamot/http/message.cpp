#include "bergamot/http/message.h"

#include <strings.h>

#include <cpprest/json.h>

namespace bergamot
{

namespace
{

int statusOf(ErrorCode code)
{
    switch (code) {
    case ErrorCode::InvalidArgument:
        return 400;
    case ErrorCode::NotFound:
        return 404;
    case ErrorCode::Conflict:
        return 409;
    case ErrorCode::Expired:
        return 410;
    case ErrorCode::Overloaded:
        return 429;
    case ErrorCode::Unavailable:
        return 503;
    case ErrorCode::Unknown:
        return 502;
    case ErrorCode::DeadlineExceeded:
        return 504;
    case ErrorCode::Cancelled:
        return 499;
    case ErrorCode::Internal:
        return 500;
    }
    return 500;
}

} // namespace

bool HeaderNameLess::operator()(std::string_view left, std::string_view right) const
{
    const std::size_t common = std::min(left.size(), right.size());
    const int order = strncasecmp(left.data(), right.data(), common);
    return order != 0 ? order < 0 : left.size() < right.size();
}

std::string headerOr(const HttpHeaders &headers, std::string_view name, std::string fallback)
{
    const auto found = headers.find(name);
    return found == headers.end() ? fallback : found->second;
}

HttpResponse errorResponse(const Error &error)
{
    web::json::value body = web::json::value::object();
    body["error"] = web::json::value(std::string(errorCodeName(error.code)));
    body["message"] = web::json::value(error.message);
    HttpResponse response;
    response.status = statusOf(error.code);
    response.body = body.serialize();
    if (error.retryAfter) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(*error.retryAfter);
        response.headers["Retry-After"] = std::to_string(std::max<std::int64_t>(1, seconds.count()));
    }
    return response;
}

} // namespace bergamot
