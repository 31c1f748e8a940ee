#include "bergamot/base/json.h"
#include "bergamot/platform/internal/json_fields.h"
#include "bergamot/platform/platform_json.h"

namespace bergamot
{

using platform_internal::readList;
using platform_internal::unsigned32;
using web::json::value;

namespace
{

constexpr std::string_view ServingRole = "serving";
constexpr std::string_view IdleRole = "idle";

Result<TokenSpan> parseSpan(const value &json, const std::string &path)
{
    FieldReader reader(json, path);
    TokenSpan span;
    span.version = reader.requiredUnsigned("version");
    span.tokenCount = unsigned32(reader, "tokens", 0);
    if (span.version == 0 || span.tokenCount == 0) {
        reader.reject("version", "and tokens must be 1 or more");
    }
    if (const Result<void> read = reader.finish(); !read) {
        return tl::unexpected(read.error());
    }
    return span;
}

} // namespace

value toJson(const GenerateRequest &request)
{
    value json = value::object();
    json["request_id"] = value(request.requestId);
    json["model"] = value(request.model.value());
    json["prompt"] = value(request.prompt);
    json["max_tokens"] = value(request.maxTokens);
    json["priority"] = value(request.priority);
    json["resume_from"] = value(request.resumeFrom);
    return json;
}

Result<GenerateRequest> parseGenerateRequest(const value &json, const std::string &path)
{
    FieldReader reader(json, path);
    GenerateRequest request;
    request.requestId = reader.requiredString("request_id");
    request.model = ModelId(reader.requiredString("model"));
    request.prompt = reader.optionalString("prompt", "");
    request.maxTokens = unsigned32(reader, "max_tokens", 0);
    request.priority = unsigned32(reader, "priority", 0);
    request.resumeFrom = reader.optionalString("resume_from", "");
    if (request.maxTokens == 0) {
        reader.reject("max_tokens", "must be 1 or more");
    }
    if (const Result<void> read = reader.finish(); !read) {
        return tl::unexpected(read.error());
    }
    return request;
}

value toJson(const std::vector<TokenSpan> &spans)
{
    std::vector<value> elements;
    elements.reserve(spans.size());
    for (const TokenSpan &span : spans) {
        value element = value::object();
        element["version"] = value(span.version);
        element["tokens"] = value(span.tokenCount);
        elements.push_back(std::move(element));
    }
    return value::array(std::move(elements));
}

value toJson(const Generation &generation)
{
    value json = value::object();
    json["text"] = value(generation.text);
    json["spans"] = toJson(generation.spans);
    json["finish"] = value(generation.finish);
    return json;
}

Result<Generation> parseGeneration(const value &json, const std::string &path)
{
    FieldReader reader(json, path);
    Generation generation;
    generation.text = reader.optionalString("text", "");
    generation.finish = reader.requiredString("finish");
    if (!reader.has("text")) {
        reader.reject("text", "must be a string");
    }
    if (const Result<void> read = reader.finish(); !read) {
        return tl::unexpected(read.error());
    }
    Result<std::vector<TokenSpan>> spans = readList<TokenSpan>(json, path, "spans", parseSpan);
    if (!spans) {
        return tl::unexpected(spans.error());
    }
    generation.spans = std::move(*spans);
    for (std::size_t i = 1; i < generation.spans.size(); ++i) {
        if (generation.spans[i].version == generation.spans[i - 1].version) {
            return failure(ErrorCode::InvalidArgument,
                           path + ".spans[" + std::to_string(i) + "].version must differ from the span before");
        }
    }
    return generation;
}

value toJson(const EngineOrder &order)
{
    value json = value::object();
    json["fencing"] = value(order.fencing);
    json["model"] = value(order.model.value());
    json["version"] = value(order.version);
    json["role"] = value(std::string(order.role == EngineRole::Serving ? ServingRole : IdleRole));
    return json;
}

Result<EngineOrder> parseEngineOrder(const value &json, const std::string &path)
{
    FieldReader reader(json, path);
    EngineOrder order;
    order.fencing = reader.requiredUnsigned("fencing");
    order.model = ModelId(reader.requiredString("model"));
    order.version = reader.requiredUnsigned("version");
    const std::string role = reader.requiredString("role");
    order.role = role == IdleRole ? EngineRole::Idle : EngineRole::Serving;
    if (role != ServingRole && role != IdleRole) {
        reader.reject("role", "must be serving or idle");
    }
    if (const Result<void> read = reader.finish(); !read) {
        return tl::unexpected(read.error());
    }
    return order;
}

value toJson(const EngineState &state)
{
    value json = value::object();
    json["model"] = value(state.model.value());
    json["version"] = value(state.version);
    json["loading"] = value(state.loading);
    json["running"] = value(state.running);
    json["waiting"] = value(state.waiting);
    json["slots"] = value(state.slots);
    json["load_age_ms"] = value(static_cast<std::uint64_t>(state.loadAge.count()));
    json["leaving"] = value(state.leaving);
    json["crashes"] = value(state.crashes);
    return json;
}

Result<EngineState> parseEngineState(const value &json, const std::string &path)
{
    FieldReader reader(json, path);
    EngineState state;
    state.model = ModelId(reader.requiredString("model"));
    state.version = reader.requiredUnsigned("version");
    state.loading = reader.optionalUnsigned("loading", 0);
    state.running = unsigned32(reader, "running", 0);
    state.waiting = unsigned32(reader, "waiting", 0);
    state.slots = unsigned32(reader, "slots", 0);
    state.loadAge = std::chrono::milliseconds(unsigned32(reader, "load_age_ms", 0));
    state.leaving = reader.optionalBool("leaving", false);
    state.crashes = reader.optionalUnsigned("crashes", 0);
    if (state.slots == 0) {
        reader.reject("slots", "must be 1 or more");
    }
    if (const Result<void> read = reader.finish(); !read) {
        return tl::unexpected(read.error());
    }
    return state;
}

Result<std::string> parseHandle(const value &json, const std::string &path)
{
    FieldReader reader(json, path);
    std::string handle = reader.requiredString("handle");
    if (const Result<void> read = reader.finish(); !read) {
        return tl::unexpected(read.error());
    }
    return handle;
}

} // namespace bergamot
