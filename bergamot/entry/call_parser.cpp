#include "bergamot/entry/call_parser.h"

#include <array>
#include <charconv>

#include "bergamot/base/hash.h"
#include "bergamot/base/json.h"
#include "bergamot/base/prompt_fingerprint.h"

namespace bergamot
{

namespace
{

constexpr std::string_view ServicesPrefix = "/v1/services/";
constexpr std::string_view ModelsPrefix = "/v1/models/";
constexpr std::string_view GenerateSuffix = "/generate";
constexpr Duration MaxDeadline = std::chrono::hours(1);
constexpr std::size_t MaxKeyCharacters = 256;
constexpr std::size_t PromptPrefixCharacters = 256;
constexpr double TokensPerWorkUnit = 16;
constexpr std::uint64_t DefaultMaxTokens = 256;
constexpr std::array<std::string_view, 9> ConnectionHeaders{
    "Connection", "Content-Length", "Host", "Keep-Alive", "TE", "Trailer", "Transfer-Encoding", "Upgrade", "X-Leaving"};

Result<Duration> parseDeadline(const HttpHeaders &headers, Duration fallback)
{
    const std::string text = headerOr(headers, "X-Deadline-Ms", "");
    if (text.empty()) {
        return fallback;
    }
    std::uint32_t milliseconds = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), milliseconds);
    const Duration deadline = std::chrono::milliseconds(milliseconds);
    if (error != std::errc() || end != text.data() + text.size() || milliseconds == 0 || deadline > MaxDeadline) {
        return failure(ErrorCode::InvalidArgument, "X-Deadline-Ms must be a whole number from 1 to 3600000.");
    }
    return deadline;
}

Result<const RoutedTarget *> findTarget(const RoutingTable &table, const std::string &name)
{
    const auto found = table.targets.find(name);
    if (found == table.targets.end()) {
        return failure(ErrorCode::NotFound, "No service or model is configured under this name: " + name + ".");
    }
    return &found->second;
}

/// Parses the headers that requests to services and to models share.
Result<CallerCall>
parseCommon(const HttpRequest &request, const std::string &targetName, const RoutedTarget &target, TimePoint now)
{
    const Result<TrafficClass> trafficClass = parseTrafficClass(headerOr(request.headers, "X-Class", "interactive"));
    if (!trafficClass) {
        return tl::unexpected(trafficClass.error());
    }
    const Result<Duration> deadline = parseDeadline(request.headers, target.defaultTimeout);
    if (!deadline) {
        return tl::unexpected(deadline.error());
    }
    CallerCall call;
    call.tenant = headerOr(request.headers, "X-Tenant", "none");
    call.facts.target = targetName;
    call.facts.trafficClass = *trafficClass;
    call.facts.deadline = now + *deadline;
    return call;
}

Result<CallerCall> parseServiceCall(const HttpRequest &request, const RoutingTable &table, TimePoint now)
{
    const std::string rest = request.path.substr(ServicesPrefix.size());
    const std::size_t slash = rest.find('/');
    const std::string targetName = serviceTarget(ServiceId(rest.substr(0, slash)));
    const std::string path = slash == std::string::npos ? "/" : rest.substr(slash);
    const Result<const RoutedTarget *> target = findTarget(table, targetName);
    if (!target) {
        return tl::unexpected(target.error());
    }
    Result<CallerCall> call = parseCommon(request, targetName, **target, now);
    if (!call) {
        return call;
    }
    const std::string key = headerOr(request.headers, "Idempotency-Key", "");
    if (key.size() > MaxKeyCharacters) {
        return failure(ErrorCode::InvalidArgument, "Idempotency-Key must have at most 256 characters.");
    }
    call->facts.repeatable = isRepeatable(**target, request.method, path);
    call->facts.fingerprint = requestFingerprint(targetName, request.method, path, request.body);
    if (!key.empty() && !call->facts.repeatable) {
        call->facts.key = call->tenant + "/" + key;
        call->keyDigest = sha256Hex(targetName + "\n" + request.method + "\n" + path + "\n" + request.body);
    }
    call->toEndpoint = request;
    call->toEndpoint.path = path;
    std::erase_if(call->toEndpoint.headers, [](const auto &header) {
        return isConnectionHeader(header.first);
    });
    return call;
}

Result<CallerCall> parseModelCall(const HttpRequest &request, const RoutingTable &table, TimePoint now)
{
    const std::size_t length = request.path.size() - ModelsPrefix.size() - GenerateSuffix.size();
    const ModelId model(request.path.substr(ModelsPrefix.size(), length));
    const std::string targetName = modelTarget(model);
    const Result<const RoutedTarget *> target = findTarget(table, targetName);
    if (!target) {
        return tl::unexpected(target.error());
    }
    const Result<web::json::value> body = parseJson(request.body);
    if (!body) {
        return tl::unexpected(body.error());
    }
    FieldReader reader(*body, "generate");
    const std::string prompt = reader.requiredString("prompt");
    const std::uint64_t maxTokens = reader.optionalUnsigned("max_tokens", DefaultMaxTokens);
    const bool stream = reader.optionalBool("stream", false);
    if (const Result<void> read = reader.finish(); !read) {
        return tl::unexpected(read.error());
    }
    Result<CallerCall> call = parseCommon(request, targetName, **target, now);
    if (!call) {
        return call;
    }
    call->facts.repeatable = true;
    call->facts.streaming = stream;
    call->facts.prefix = stableHash(std::string_view(prompt).substr(0, PromptPrefixCharacters));
    call->facts.work = std::max(1.0, static_cast<double>(maxTokens) / TokensPerWorkUnit);
    call->facts.fingerprint = promptFingerprint(model.value(), prompt);
    web::json::value generation = web::json::value::object();
    generation["model"] = web::json::value(model.value());
    generation["prompt"] = web::json::value(prompt);
    generation["max_tokens"] = web::json::value(maxTokens);
    generation["priority"] = web::json::value(static_cast<std::uint32_t>(call->facts.trafficClass));
    generation["stream"] = web::json::value(stream);
    call->generation = std::move(generation);
    call->toEndpoint.method = "POST";
    call->toEndpoint.path = GenerateSuffix;
    return call;
}

} // namespace

Result<CallerCall> parseCall(const HttpRequest &request, const RoutingTable &table, TimePoint now)
{
    if (request.path.starts_with(ServicesPrefix)) {
        return parseServiceCall(request, table, now);
    }
    const bool generate = request.path.starts_with(ModelsPrefix) && request.path.ends_with(GenerateSuffix)
        && request.path.size() > ModelsPrefix.size() + GenerateSuffix.size();
    if (generate && request.method == "POST") {
        return parseModelCall(request, table, now);
    }
    return failure(ErrorCode::NotFound,
                   "Use /v1/services/{service}/{path} or POST /v1/models/{model}/generate; got " + request.path + ".");
}

bool isConnectionHeader(std::string_view name)
{
    const HeaderNameLess less;
    return std::any_of(ConnectionHeaders.begin(), ConnectionHeaders.end(), [&](std::string_view each) {
        return !less(each, name) && !less(name, each);
    });
}

} // namespace bergamot
