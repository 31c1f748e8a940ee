#include "bergamot/samples/internal/trainer_routes.h"

#include <charconv>

#include "bergamot/base/json.h"
#include "bergamot/evidence/sample_receipt.h"

namespace bergamot
{

namespace
{

using web::json::value;

constexpr std::string_view Prefix = "/v1/trainers/";
constexpr std::uint64_t DefaultBatch = 256;
constexpr std::size_t MaxTrainerName = 200;

std::vector<std::string_view> splitPath(std::string_view path)
{
    std::vector<std::string_view> parts;
    while (!path.empty()) {
        const std::size_t slash = path.find('/');
        parts.push_back(path.substr(0, slash));
        path = slash == std::string_view::npos ? std::string_view() : path.substr(slash + 1);
    }
    return parts;
}

std::optional<std::uint64_t> readStep(std::string_view text)
{
    std::uint64_t step = 0;
    const auto [end, status] = std::from_chars(text.data(), text.data() + text.size(), step);
    if (text.empty() || status != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return step;
}

std::optional<TrainerRoute::Kind> routeKind(const std::vector<std::string_view> &parts, std::string_view method)
{
    const bool ofStep = parts.size() >= 3 && parts[1] == "steps";
    if (parts.size() == 1 && method == "GET") {
        return TrainerRoute::Kind::Status;
    }
    if (ofStep && parts.size() == 3 && method == "PUT") {
        return TrainerRoute::Kind::Submit;
    }
    if (ofStep && parts.size() == 3 && method == "DELETE") {
        return TrainerRoute::Kind::Drop;
    }
    if (ofStep && parts.size() == 4 && parts[3] == "draw" && method == "POST") {
        return TrainerRoute::Kind::Draw;
    }
    return std::nullopt;
}

value spansJson(const std::vector<TokenSpan> &spans)
{
    value json = value::array(spans.size());
    for (std::size_t i = 0; i < spans.size(); ++i) {
        json[i]["version"] = value::number(spans[i].version);
        json[i]["tokens"] = value::number(spans[i].tokenCount);
    }
    return json;
}

value failedJson(const std::vector<FailedSample> &failed)
{
    value json = value::array(failed.size());
    for (std::size_t i = 0; i < failed.size(); ++i) {
        json[i]["group"] = value::number(failed[i].id.group);
        json[i]["index"] = value::number(failed[i].id.index);
        json[i]["reason"] = value::string(failed[i].reason);
    }
    return json;
}

} // namespace

Result<TrainerRoute> parseTrainerRoute(const HttpRequest &request)
{
    const auto unknown = failure(ErrorCode::NotFound,
                                 request.method + " " + request.path
                                     + " is not a known route; use PUT or DELETE /v1/trainers/{t}/steps/{n}, POST "
                                       "/v1/trainers/{t}/steps/{n}/draw or GET /v1/trainers/{t}");
    if (!request.path.starts_with(Prefix)) {
        return unknown;
    }
    const std::vector<std::string_view> parts = splitPath(std::string_view(request.path).substr(Prefix.size()));
    const std::optional<TrainerRoute::Kind> kind = routeKind(parts, request.method);
    if (!kind || parts[0].empty() || parts[0].size() > MaxTrainerName) {
        return unknown;
    }
    TrainerRoute route{.kind = *kind, .key = {TrainerId(std::string(parts[0])), 0}};
    if (*kind == TrainerRoute::Kind::Status) {
        return route;
    }
    const std::optional<std::uint64_t> step = readStep(parts[2]);
    if (!step) {
        return failure(ErrorCode::InvalidArgument, "the step in " + request.path + " must be a non-negative integer");
    }
    route.key.step = *step;
    return route;
}

Result<DrawRequest> parseDraw(std::string_view body, std::chrono::milliseconds maxWait, TimePoint now)
{
    const Result<value> json = parseJson(body);
    if (!json) {
        return tl::unexpected(json.error());
    }
    FieldReader reader(*json, "draw");
    DrawRequest draw;
    draw.cursor = reader.optionalString("cursor", "");
    draw.trainerVersion = reader.optionalUnsigned("weights", 0);
    const std::uint64_t max = reader.optionalUnsigned("max", DefaultBatch);
    const std::uint64_t wait = reader.optionalUnsigned("wait_ms", 0);
    if (max == 0) {
        reader.reject("max", "must be 1 or more");
    }
    if (const Result<void> read = reader.finish(); !read) {
        return tl::unexpected(read.error());
    }
    draw.max = static_cast<std::uint32_t>(std::min<std::uint64_t>(max, UINT32_MAX));
    const auto limit = static_cast<std::uint64_t>(maxWait.count());
    draw.deadline = now + std::chrono::milliseconds(std::min(wait, limit));
    return draw;
}

value statusJson(const StepKey &key, const StepStatus &status)
{
    value json = value::object();
    json["step"] = value::number(key.step);
    json["samples"] = value::number(status.samples);
    json["waiting"] = value::number(status.waiting);
    json["in_flight"] = value::number(status.inFlight);
    json["ready"] = value::number(status.ready);
    json["failed"] = value::number(status.failed);
    json["received"] = value::number(status.received);
    json["cursor"] = value::string(status.cursor);
    return json;
}

value sampleJson(const DeliveredSample &deliveredSample, const std::string &receipt)
{
    value json = value::object();
    json["group"] = value::number(deliveredSample.id.group);
    json["index"] = value::number(deliveredSample.id.index);
    json["text"] = value::string(deliveredSample.sample.text);
    json["spans"] = spansJson(deliveredSample.sample.spans);
    json["staleness"] = value::number(deliveredSample.staleness);
    json["score"] = deliveredSample.sample.score ? value::number(*deliveredSample.sample.score) : value::null();
    if (!deliveredSample.sample.scoreReason.empty()) {
        json["score_reason"] = value::string(deliveredSample.sample.scoreReason);
    }
    json["receipt"] = value::string(receipt);
    return json;
}

value sampleEvidence(const DeliveredSample &deliveredSample, const std::string &textDigest)
{
    value json = value::object();
    json["sample"] = value::string(toText(deliveredSample.id));
    json["text_digest"] = value::string(textDigest);
    json["spans"] = value::string(spansText(deliveredSample.sample.spans));
    json["staleness"] = value::number(deliveredSample.staleness);
    json["engine"] = value::string(deliveredSample.sample.engine.value());
    json["request"] = value::string(deliveredSample.sample.requestId);
    return json;
}

value drawJson(const AnswerDraw &answer, std::vector<value> samples)
{
    value json = value::object();
    json["samples"] = value::array(std::move(samples));
    json["failed"] = failedJson(answer.failed);
    json["cursor"] = value::string(answer.cursor);
    json["done"] = value::boolean(answer.done);
    return json;
}

} // namespace bergamot
