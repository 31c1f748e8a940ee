#include "bergamot/entry/internal/answers.h"

#include <charconv>

#include "bergamot/entry/call_parser.h"

namespace bergamot::entry_internal
{

namespace
{

constexpr std::string_view OutcomeHeader = "Bergamot-Outcome";

HttpResponse withOutcome(HttpResponse response, RequestOutcome outcome)
{
    response.headers[std::string(OutcomeHeader)] = std::string(outcomeName(outcome));
    return response;
}

Duration retryAfterOf(const HttpHeaders &headers)
{
    const std::string text = headerOr(headers, "Retry-After", "0");
    std::uint32_t seconds = 0;
    std::from_chars(text.data(), text.data() + text.size(), seconds);
    return std::chrono::seconds(seconds);
}

} // namespace

HttpResponse answerToCaller(HttpResponse answer)
{
    std::erase_if(answer.headers, [](const auto &header) {
        return isConnectionHeader(header.first) || header.first == "Content-Type";
    });
    return withOutcome(std::move(answer), RequestOutcome::Answered);
}

HttpResponse answerToCaller(const RefuseAction &refusal)
{
    web::json::value body = web::json::value::object();
    body["error"] = web::json::value(std::string(refusalReasonName(refusal.reason)));
    body["message"] = web::json::value(refusal.message);
    HttpResponse response{.status = refusal.status, .headers = {}, .body = body.serialize()};
    if (refusal.retryAfter > Duration::zero()) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(refusal.retryAfter);
        response.headers["Retry-After"] = std::to_string(seconds.count());
    }
    return withOutcome(std::move(response), refusal.outcome);
}

HttpResponse answerToCaller(const inner::KeyClaimReplyT &stored)
{
    return withOutcome(
        {.status = stored.status, .headers = {}, .body = stored.body, .contentType = stored.content_type},
        RequestOutcome::Answered);
}

HttpResponse answerToCaller(const Error &error)
{
    return withOutcome(errorResponse(error), RequestOutcome::RefusedNotRun);
}

AttemptAnswer extractFacts(const HttpResponse &answer)
{
    return {.status = answer.status,
            .leaving = headerOr(answer.headers, "X-Leaving", "") == "true",
            .notRun = headerOr(answer.headers, OutcomeHeader, "") == outcomeName(RequestOutcome::RefusedNotRun),
            .retryAfter = retryAfterOf(answer.headers)};
}

AttemptFailure extractFacts(const CallFailure &failure)
{
    const bool notSent = failure.delivery == Delivery::NotSent;
    return {.proof = notSent ? DeliveryProof::NotRun : DeliveryProof::MaybeRan, .timedOut = failure.timedOut};
}

} // namespace bergamot::entry_internal
