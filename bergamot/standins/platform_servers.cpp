#include "bergamot/standins/platform_servers.h"

#include <charconv>

#include "bergamot/platform/platform_json.h"

namespace bergamot
{

namespace
{

constexpr std::size_t MostRecordsPerPage = 1'000;

struct StateChange
{
    std::string id;
    ListedState state = ListedState::Live;
};

struct ScoreRequest
{
    std::string prompt;
    std::string text;
};

Result<ListedMember> parseRegistration(const web::json::value &json, const std::string &path)
{
    FieldReader reader(json, path);
    const web::json::value member = reader.optionalObject("member");
    if (const Result<void> read = reader.finish(); !read) {
        return tl::unexpected(read.error());
    }
    return parseListedMember(member, path + ".member");
}

Result<StateChange> parseStateChange(const web::json::value &json, const std::string &path)
{
    FieldReader reader(json, path);
    StateChange change;
    change.id = reader.requiredString("id");
    const Result<ListedState> state = parseListedState(reader.requiredString("state"), path + ".state");
    if (!state) {
        reader.reject("state", "must be live or leaving");
    }
    if (const Result<void> read = reader.finish(); !read) {
        return tl::unexpected(read.error());
    }
    change.state = *state;
    return change;
}

Result<std::string> parseId(const web::json::value &json, const std::string &path)
{
    FieldReader reader(json, path);
    std::string id = reader.requiredString("id");
    if (const Result<void> read = reader.finish(); !read) {
        return tl::unexpected(read.error());
    }
    return id;
}

Result<WeightVersion> parseVersion(const web::json::value &json, const std::string &path)
{
    FieldReader reader(json, path);
    const WeightVersion version = reader.requiredUnsigned("version");
    if (const Result<void> read = reader.finish(); !read) {
        return tl::unexpected(read.error());
    }
    return version;
}

Result<ScoreRequest> parseScoreRequest(const web::json::value &json, const std::string &path)
{
    FieldReader reader(json, path);
    ScoreRequest request{reader.optionalString("prompt", ""), reader.optionalString("text", "")};
    if (const Result<void> read = reader.finish(); !read) {
        return tl::unexpected(read.error());
    }
    return request;
}

/// A number in the query; `fallback` if it is missing.
Result<std::uint64_t> queryNumber(const HttpRequest &request, const std::string &name, std::uint64_t fallback)
{
    const auto found = request.query.find(name);
    if (found == request.query.end()) {
        return fallback;
    }
    const std::string &text = found->second;
    std::uint64_t number = 0;
    const auto [end, status] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (status != std::errc() || end != text.data() + text.size()) {
        return failure(ErrorCode::InvalidArgument, "query." + name + " must be a whole number, 0 or more");
    }
    return number;
}

} // namespace

LogServer::LogServer(const StandinContext &context, Address address, LogCoreOptions options)
    : m_context(context)
    , m_core(options)
    , m_port(context, "log", std::move(address))
{
    m_port.add("POST", "/log/", "/append", [this](const StandinCall &call) {
        append(call);
    });
    m_port.add("GET", "/log/", "/read", [this](const StandinCall &call) {
        read(call);
    });
    m_port.addFaults([this](const FaultCommand &command) {
        return m_core.apply(command);
    });
}

void LogServer::append(const StandinCall &call)
{
    std::optional<std::vector<Record>> batch = readBody<std::vector<Record>>(call, parseAppend);
    if (batch) {
        const Answer<Offset> answer = m_core.append(call.name, std::move(*batch), m_context.clock.now());
        m_port.deliver(call.responder, answer, offsetToJson);
    }
}

void LogServer::read(const StandinCall &call)
{
    const Result<std::uint64_t> from = queryNumber(call.request, "from", 1);
    const Result<std::uint64_t> limit = queryNumber(call.request, "limit", MostRecordsPerPage);
    if (!from || !limit) {
        call.responder->reply(errorResponse(from ? limit.error() : from.error()));
        return;
    }
    const std::size_t most = std::min<std::uint64_t>(*limit, MostRecordsPerPage);
    m_port.deliver(call.responder, m_core.read(call.name, *from, most, m_context.clock.now()), [](const LogPage &page) {
        return toJson(page);
    });
}

StandinPort &LogServer::port()
{
    return m_port;
}

ListServer::ListServer(const StandinContext &context, Address address, Duration lag)
    : m_context(context)
    , m_core(lag)
    , m_port(context, "list", std::move(address))
{
    m_port.add("GET", "/instances", "", [this](const StandinCall &call) {
        m_port.deliver(
            call.responder, m_core.fetch(m_context.clock.now()), [](const std::vector<ListedMember> &members) {
                return toJson(members);
            });
    });
    m_port.add("POST", "/instances/register", "", [this](const StandinCall &call) {
        registerMember(call);
    });
    m_port.add("POST", "/instances/state", "", [this](const StandinCall &call) {
        changeState(call);
    });
    m_port.add("POST", "/instances/remove", "", [this](const StandinCall &call) {
        remove(call);
    });
    m_port.addFaults([this](const FaultCommand &command) {
        return m_core.apply(command);
    });
}

void ListServer::registerMember(const StandinCall &call)
{
    if (const std::optional<ListedMember> member = readBody<ListedMember>(call, parseRegistration)) {
        m_core.put(*member, m_context.clock.now());
        m_port.deliver(call.responder, Answer<void>{});
    }
}

void ListServer::changeState(const StandinCall &call)
{
    if (const std::optional<StateChange> change = readBody<StateChange>(call, parseStateChange)) {
        m_port.deliver(call.responder, Answer<void>{m_core.setState(change->id, change->state, m_context.clock.now())});
    }
}

void ListServer::remove(const StandinCall &call)
{
    if (const std::optional<std::string> id = readBody<std::string>(call, parseId)) {
        m_core.remove(*id, m_context.clock.now());
        m_port.deliver(call.responder, Answer<void>{});
    }
}

StandinPort &ListServer::port()
{
    return m_port;
}

WeightStoreServer::WeightStoreServer(const StandinContext &context, Address address, WeightStoreOptions options)
    : m_context(context)
    , m_core(options)
    , m_port(context, "weight-store", std::move(address))
{
    m_port.add("POST", "/weights/", "/publish", [this](const StandinCall &call) {
        publish(call);
    });
    m_port.add("GET", "/weights/", "", [this](const StandinCall &call) {
        m_port.deliver(call.responder,
                       m_core.published(ModelId(call.name), m_context.clock.now()),
                       [](const PublishedWeights &published) {
                           return toJson(published);
                       });
    });
    m_port.addFaults([this](const FaultCommand &command) {
        return m_core.apply(command);
    });
}

void WeightStoreServer::publish(const StandinCall &call)
{
    if (const std::optional<WeightVersion> version = readBody<WeightVersion>(call, parseVersion)) {
        m_port.deliver(call.responder, Answer<void>{m_core.publish(ModelId(call.name), *version)});
    }
}

StandinPort &WeightStoreServer::port()
{
    return m_port;
}

WeightSource &WeightStoreServer::source()
{
    return m_core;
}

ScoringServer::ScoringServer(const StandinContext &context, Address address, Duration scoringTime)
    : m_core(scoringTime)
    , m_port(context, "scoring", std::move(address))
{
    m_port.add("POST", "/score", "", [this](const StandinCall &call) {
        score(call);
    });
    m_port.addFaults([this](const FaultCommand &command) {
        return m_core.apply(command);
    });
}

void ScoringServer::score(const StandinCall &call)
{
    if (const std::optional<ScoreRequest> request = readBody<ScoreRequest>(call, parseScoreRequest)) {
        m_port.deliver(call.responder, m_core.score(request->prompt, request->text), [](double score) {
            web::json::value json = web::json::value::object();
            json["score"] = web::json::value(score);
            return json;
        });
    }
}

StandinPort &ScoringServer::port()
{
    return m_port;
}

} // namespace bergamot
