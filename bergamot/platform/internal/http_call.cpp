#include "bergamot/platform/internal/http_call.h"

#include <charconv>

#include "bergamot/base/json.h"

namespace bergamot::platform_internal
{

namespace
{

struct StatusMeaning
{
    int status;
    ErrorCode code;
};

// Any other status leaves open whether the call took effect.
constexpr StatusMeaning StatusMeanings[] = {
    {400, ErrorCode::InvalidArgument},
    {404, ErrorCode::NotFound},
    {409, ErrorCode::Conflict},
    {410, ErrorCode::Expired},
    {413, ErrorCode::InvalidArgument},
    {429, ErrorCode::Overloaded},
    {503, ErrorCode::Unavailable},
    {504, ErrorCode::DeadlineExceeded},
};

constexpr std::size_t MaxMessageBytes = 500; // of the other side's text

ErrorCode codeOf(int status)
{
    for (const StatusMeaning &meaning : StatusMeanings) {
        if (meaning.status == status) {
            return meaning.code;
        }
    }
    return ErrorCode::Unknown;
}

std::optional<std::chrono::milliseconds> retryAfterOf(const HttpResponse &response)
{
    constexpr std::uint32_t Most = 3'600;
    const std::string text = headerOr(response.headers, "Retry-After", "");
    std::uint32_t seconds = 0;
    const auto [end, status] = std::from_chars(text.data(), text.data() + text.size(), seconds);
    if (text.empty() || status != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return std::chrono::seconds(std::min(seconds, Most));
}

std::string messageOf(const HttpResponse &response)
{
    const Result<web::json::value> json = parseJson(response.body);
    if (!json || !json->is_object()) {
        return {};
    }
    return ": " + FieldReader(*json, "answer").optionalString("message", "").substr(0, MaxMessageBytes);
}

} // namespace

Error errorOf(const CallFailure &failure)
{
    if (failure.delivery == Delivery::NotSent) {
        return {ErrorCode::Unavailable, failure.message};
    }
    return {failure.timedOut ? ErrorCode::DeadlineExceeded : ErrorCode::Unknown, failure.message};
}

Error errorOf(const HttpResponse &response, const std::string &what)
{
    return {codeOf(response.status),
            what + " answered " + std::to_string(response.status) + messageOf(response),
            retryAfterOf(response)};
}

Result<web::json::value> jsonOf(const CallOutcome &outcome, const std::string &what)
{
    if (!outcome) {
        Error error = errorOf(outcome.error());
        error.message = what + ": " + error.message;
        return tl::unexpected(std::move(error));
    }
    if (outcome->status != 200) {
        return tl::unexpected(errorOf(*outcome, what));
    }
    Result<web::json::value> json = parseJson(outcome->body);
    if (!json) {
        return failure(ErrorCode::Internal, what + ": answer: " + json.error().message);
    }
    return json;
}

HttpRequest postRequest(std::string path, const web::json::value &body)
{
    HttpRequest request;
    request.method = "POST";
    request.path = std::move(path);
    request.body = body.serialize();
    return request;
}

std::string describe(const HttpRequest &request, const Address &to)
{
    return request.method + " " + request.path + " on " + toString(to);
}

} // namespace bergamot::platform_internal
