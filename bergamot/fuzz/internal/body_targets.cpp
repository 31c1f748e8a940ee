#include <cmath>

#include "bergamot/base/json.h"
#include "bergamot/entry/call_parser.h"
#include "bergamot/fuzz/internal/target_groups.h"
#include "bergamot/intents/intent.h"
#include "bergamot/platform/platform_json.h"
#include "bergamot/samples/cursor.h"
#include "bergamot/samples/internal/trainer_routes.h"
#include "bergamot/samples/step_spec.h"

namespace bergamot::fuzz_internal
{

namespace
{

using web::json::value;

const TimePoint Now(std::chrono::hours(1));
constexpr std::chrono::milliseconds LongestDeadline = std::chrono::hours(1);
constexpr std::chrono::milliseconds LongestWait{5000};

/// An input is a request in lines: method and path, headers, an empty line, the body.
HttpRequest requestOf(std::string_view input)
{
    const auto line = [&input] {
        const std::size_t end = std::min(input.find('\n'), input.size());
        std::string text(input.substr(0, end));
        input.remove_prefix(std::min(end + 1, input.size()));
        return text;
    };
    HttpRequest request;
    const std::string first = line();
    const std::size_t space = std::min(first.find(' '), first.size());
    request.method = first.substr(0, space);
    request.path = first.substr(std::min(space + 1, first.size()));
    for (std::string header = line(); !header.empty(); header = line()) {
        const std::size_t colon = std::min(header.find(':'), header.size());
        request.headers[header.substr(0, colon)] = header.substr(std::min(colon + 1, header.size()));
    }
    request.body = std::string(input);
    return request;
}

const RoutingTable &table()
{
    static const RoutingTable table = [] {
        RoutingTable made;
        made.targets["service/stock"].repeatablePaths = {"/search"};
        made.targets["model/agent"].defaultTimeout = std::chrono::seconds(60);
        return made;
    }();
    return table;
}

FuzzVerdict judgeCall(std::string_view input)
{
    const Result<CallerCall> call = parseCall(requestOf(input), table(), Now);
    if (!call) {
        return refused(call.error());
    }
    const bool deadlineFits = call->facts.deadline > Now && call->facts.deadline <= Now + LongestDeadline;
    const bool workFits = std::isfinite(call->facts.work) && call->facts.work >= 1;
    const bool clean =
        std::none_of(call->toEndpoint.headers.begin(), call->toEndpoint.headers.end(), [](const auto &header) {
            return isConnectionHeader(header.first);
        });
    return acceptedIf(deadlineFits && workFits && clean && table().targets.contains(call->facts.target));
}

FuzzVerdict judgeTrainerRoute(std::string_view input)
{
    const Result<TrainerRoute> route = parseTrainerRoute(requestOf(input));
    return route ? acceptedIf(!route->key.trainer.value().empty()) : refused(route.error());
}

FuzzVerdict judgeDraw(std::string_view input)
{
    const Result<DrawRequest> draw = parseDraw(input, LongestWait, Now);
    if (!draw) {
        return refused(draw.error());
    }
    return acceptedIf(draw->max > 0 && draw->deadline >= Now && draw->deadline <= Now + LongestWait);
}

FuzzVerdict judgeStep(std::string_view input)
{
    const Result<value> json = parseJson(input);
    if (!json) {
        return refused(json.error());
    }
    const StepLimits limits;
    const Result<StepSpec> spec = parseStepSpec(*json, limits);
    if (!spec) {
        return refused(spec.error());
    }
    const bool placed = spec->position(spec->sampleCount - 1).first + 1 == spec->groups.size();
    return acceptedIf(placed && spec->sampleCount <= limits.maxSamples);
}

FuzzVerdict judgeCursor(std::string_view input)
{
    const Result<Cursor> cursor = decodeCursor(input);
    if (!cursor) {
        return refused(cursor.error());
    }
    const Result<Cursor> again = decodeCursor(encodeCursor(*cursor));
    return acceptedIf(again && *again == *cursor && cursor->count() <= cursor->sampleCount());
}

FuzzVerdict judgeIntent(std::string_view input)
{
    const Result<value> json = parseJson(input);
    if (!json) {
        return refused(json.error());
    }
    const Result<Intent> intent = parseIntent(*json);
    if (!intent) {
        return refused(intent.error());
    }
    const Result<Intent> again = parseIntent(toJson(*intent));
    return acceptedIf(again && *again == *intent && !intent->id.value().empty());
}

FuzzVerdict judgeConfiguration(std::string_view input)
{
    const Result<value> json = parseJson(input);
    if (!json) {
        return refused(json.error());
    }
    const Result<Configuration> configuration = parseConfiguration(*json);
    if (!configuration) {
        return refused(configuration.error());
    }
    const Result<Configuration> again = parseConfiguration(toJson(*configuration));
    return acceptedIf(again && *again == *configuration);
}

template<auto parse>
FuzzVerdict judgeJson(std::string_view input)
{
    const Result<value> json = parseJson(input);
    if (!json) {
        return refused(json.error());
    }
    const auto parsed = parse(*json, "body");
    if (!parsed) {
        return refused(parsed.error());
    }
    const value written = toJson(*parsed);
    const auto again = parse(written, "body");
    return acceptedIf(again && toJson(*again).serialize() == written.serialize());
}

std::string pageText()
{
    const Record record{{"i1", 9, 1}, "intent", R"({"a":"ä"})"};
    return toJson(LogPage{{{4, record}, {5, record}}, 2, 9}).serialize();
}

std::string cursorText()
{
    Cursor cursor({TrainerId("quotes"), 7}, 99, 40);
    cursor.mark(3);
    return encodeCursor(cursor);
}

} // namespace

std::vector<FuzzTarget> bodyTargets()
{
    const std::string generate = "POST /v1/models/agent/generate\nX-Deadline-Ms:500\nX-Class:batch\n\n"
                                 R"({"prompt":"a quote","max_tokens":4,"stream":true})";
    const std::string confirm = "POST /v1/services/stock/confirm\nIdempotency-Key:k1\nX-Tenant:t\n\n{\"lot\":1}";
    const std::string order = toJson(EngineOrder{1, ModelId("m"), 1, EngineRole::Serving}).serialize();
    const std::string request = toJson(GenerateRequest{"1", ModelId("m"), "p", 3, 0, ""}).serialize();
    return {
        {"callerRequests", {generate, confirm, "GET /v1/services/stock/stock/x\n\n"}, judgeCall},
        {"trainerRoutes", {"PUT /v1/trainers/t/steps/4\n\n", "GET /v1/trainers/t\n\n"}, judgeTrainerRoute},
        {"draws", {R"({"cursor":"abc","weights":4,"max":16,"wait_ms":500})"}, judgeDraw},
        {"steps",
         {R"({"groups":[{"prompt":"p","samples":4,"max_tokens":16},{"prompt":"q","samples":2,"max_tokens":8}]})"},
         judgeStep},
        {"cursors", {cursorText()}, judgeCursor},
        {"intents",
         {R"({"id":"a","operator":"op","set":{"models":{"m":{"version":3}},"services":{"s":{"repeatable_paths":["/x"]}},
              "trainers":{"t":{"model":"m","staleness_bound":2}}}})",
          R"({"id":"b","operator":"op","remove":{"models":["m"],"trainers":["t"]}})"},
         judgeIntent},
        {"configurations", {toJson(Configuration()).serialize()}, judgeConfiguration},
        {"logPages", {pageText()}, judgeJson<parseLogPage>},
        {"appends", {toJson(std::vector<Record>{{{"w", 1, 1}, "k", "p"}}).serialize()}, judgeJson<parseAppend>},
        {"engineOrders", {order}, judgeJson<parseEngineOrder>},
        {"generateRequests", {request}, judgeJson<parseGenerateRequest>},
    };
}

} // namespace bergamot::fuzz_internal
