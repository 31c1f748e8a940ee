#include "bergamot/node/quota_exchange.h"

#include <charconv>
#include <cmath>

#include <boost/asio/post.hpp>

#include "bergamot/net/status.h"
#include "bergamot/quota/quota_messages.h"

namespace bergamot::node
{

using namespace net::status;

namespace
{

constexpr std::size_t MaxAnswerBytes = std::size_t{64} * 1024;

/// The value of the header field; nothing if it is not a number, 0 or more.
std::optional<double> parseLimit(std::string_view text)
{
    double value = 0;
    const auto [end, status] = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool whole = status == std::errc() && end == text.data() + text.size();
    return whole && std::isfinite(value) && value >= 0 ? std::optional(value) : std::nullopt;
}

std::string decimal(double value)
{
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.3g", value);
    return text.data();
}

} // namespace

/// Takes tokens directly from the buckets of the owner.
class QuotaExchange::SampleGate final : public quota::DispatchGate
{
public:
    explicit SampleGate(QuotaExchange &exchange)
        : m_exchange(exchange)
    { }

    bool limitsAny() const override
    {
        return m_exchange.limitsAny();
    }
    bool limits(const EndpointProcess &process) const override
    {
        return m_exchange.limits(process);
    }
    bool admits(const EndpointProcess &process, TimePoint now) const override
    {
        const std::optional<quota::LimitedEndpoint> limited = m_exchange.limited(process);
        return !limited || m_exchange.m_granter.available(*limited, quota::TokenUse::Owed, m_exchange.share(now), now);
    }
    void dispatched(const EndpointProcess &process, TimePoint now) override
    {
        if (const std::optional<quota::LimitedEndpoint> limited = m_exchange.limited(process)) {
            m_exchange.m_granter.take(*limited, quota::TokenUse::Owed, m_exchange.share(now), now);
        }
    }

private:
    QuotaExchange &m_exchange;
};

QuotaExchange::QuotaExchange(boost::asio::io_context &loop,
                             net::HttpClient &client,
                             BatchLog &log,
                             EventLog &eventLog,
                             QuotaExchangeOptions options,
                             std::uint64_t seed)
    : m_loop(loop)
    , m_client(client)
    , m_log(log)
    , m_eventLog(eventLog)
    , m_options(options)
    , m_limits(m_options.limits, seed)
    , m_granter(m_options.granter)
    , m_purse(m_options.purse)
    , m_sampleGate(std::make_unique<SampleGate>(*this))
{ }

QuotaExchange::~QuotaExchange() = default;

bool QuotaExchange::limitsAny() const
{
    return !m_limits.empty();
}

bool QuotaExchange::limits(const EndpointProcess &process) const
{
    return m_limits.limitOf(process).has_value();
}

bool QuotaExchange::admits(const EndpointProcess &process, TimePoint now) const
{
    return !limits(process) || m_purse.has(process, now);
}

void QuotaExchange::dispatched(const EndpointProcess &process, TimePoint now)
{
    if (limits(process)) {
        m_purse.spend(process, now);
    }
}

quota::DispatchGate &QuotaExchange::sampleGate()
{
    return *m_sampleGate;
}

bool QuotaExchange::takeForCall(const EndpointProcess &process, CallPriority priority, TimePoint now)
{
    const std::optional<quota::LimitedEndpoint> limit = limited(process);
    if (!limit) {
        return true;
    }
    return priority == CallPriority::AheadOfRequests ? m_granter.takeUrgent(*limit, share(now), now)
                                                     : m_granter.take(*limit, quota::TokenUse::Owed, share(now), now);
}

bool QuotaExchange::takeForScoring(const std::vector<EndpointProcess> &processes)
{
    quota::TokenAsk ask{.endpoints = {}, .wanted = {}};
    for (const EndpointProcess &process : processes) {
        const std::optional<quota::LimitedEndpoint> limit = limited(process);
        if (!limit) {
            return true;
        }
        ask.endpoints.push_back(*limit);
    }
    if (ask.endpoints.empty()) {
        return true;
    }
    ask.wanted[static_cast<std::size_t>(quota::TokenUse::Owed)] = 1;
    const quota::TokenGrant granted = grant(ask);
    applyGrant(granted);
    return !granted.granted.empty();
}

quota::GrantShare QuotaExchange::share(TimePoint now) const
{
    return m_log.ownershipIsCertain(now) ? quota::GrantShare::Whole : quota::GrantShare::Half;
}

std::optional<quota::LimitedEndpoint> QuotaExchange::limited(const EndpointProcess &process) const
{
    const std::optional<double> perSecond = m_limits.limitOf(process);
    return perSecond ? std::optional(quota::LimitedEndpoint{.process = process, .perSecond = *perSecond})
                     : std::nullopt;
}

void QuotaExchange::heardAnswer(const EndpointProcess &process, int status, std::string_view limit)
{
    if (status == MisdirectedRequest || (limit.empty() && (m_limits.empty() || status != Ok))) {
        return; // it may come from another process, or from something between
    }
    const std::optional<double> perSecond = limit.empty() ? std::nullopt : parseLimit(limit);
    if (!limit.empty() && !perSecond) {
        m_eventLog.write(EventKind::State,
                         "limit-unreadable",
                         {{"endpoint", process.endpoint.value()}, {"value", std::string(limit)}});
        return;
    }
    if (m_limits.heard(process, perSecond, BootClock::now())) {
        m_eventLog.write(EventKind::State,
                         perSecond ? "limit-named" : "limit-ended",
                         {{"endpoint", process.endpoint.value()},
                          {"incarnation", std::to_string(process.incarnation)},
                          {"source", "answer"},
                          {"per_second", decimal(perSecond.value_or(0))}});
    }
}

void QuotaExchange::applyReport(const quota::LimitReport &report)
{
    m_limits.reported(report);
    m_eventLog.write(EventKind::State,
                     report.perSecond ? "limit-named" : "limit-ended",
                     {{"endpoint", report.process.endpoint.value()},
                      {"incarnation", std::to_string(report.process.incarnation)},
                      {"source", "report"},
                      {"per_second", decimal(report.perSecond.value_or(0))}});
}

void QuotaExchange::retain(const std::function<bool(const EndpointId &)> &present)
{
    m_limits.retain(present);
    m_purse.retain(present);
}

void QuotaExchange::tick(TimePoint now)
{
    for (const quota::LimitReport &report : m_limits.takeReports(now)) {
        m_log.reportLimit(report);
    }
}

void QuotaExchange::request(const TokenRequest &request, std::function<void(const Returns &)> done)
{
    quota::TokenAsk ask{.endpoints = {}, .wanted = request.wanted};
    for (const EndpointProcess &process : request.endpoints) {
        if (const std::optional<quota::LimitedEndpoint> endpoint = limited(process)) {
            ask.endpoints.push_back(*endpoint);
        }
    }
    const TimePoint now = BootClock::now();
    if (m_log.ownership().isOwner()) {
        const quota::TokenGrant granted = grant(ask);
        granterAnswered();
        applyGrant(granted);
        writeShortage(ask, granted);
        boost::asio::post(m_loop, [done = std::move(done), returns = granted.returns] {
            done(returns);
        });
    } else if (m_log.ownerAddress().empty() || m_log.ownership().owner().empty()) {
        granterFailed("no owner is known", done);
    } else if (m_failedAt != TimePoint{} && now - m_failedAt < m_options.askPause) {
        granterFailed("the owner did not answer a moment ago", done);
    } else {
        askOwner(ask, std::move(done));
    }
}

void QuotaExchange::askOwner(const quota::TokenAsk &ask, std::function<void(const Returns &)> done)
{
    const Result<Address> owner = parseAddress(m_log.ownerAddress());
    if (!owner) {
        granterFailed(owner.error().message, done);
        return;
    }
    net::ClientRequest request{.to = *owner,
                               .method = "POST",
                               .target = std::string(TokensPath),
                               .body = quota::askMessage(ask),
                               .connectTimeout = m_options.askTimeout,
                               .headTimeout = m_options.askTimeout,
                               .bodyGapTimeout = m_options.askTimeout,
                               .answerTimeout = m_options.askTimeout,
                               .maxBodyBytes = MaxAnswerBytes};
    request.headers.add("Host", m_log.ownerAddress());
    net::startForWholeAnswer(m_client,
                             std::move(request),
                             [this, ask, owner = *owner, done = std::move(done)](const net::WholeAnswer &answer) {
                                 handleOwnerAnswer(owner, ask, answer, done);
                             });
}

void QuotaExchange::handleOwnerAnswer(const Address &owner,
                                      const quota::TokenAsk &ask,
                                      const net::WholeAnswer &answer,
                                      const std::function<void(const Returns &)> &done)
{
    if (answer.end.failure != net::CallFailure::None || answer.status != Ok) {
        m_failedAt = BootClock::now();
        m_client.dropIdle(owner); // the connection may have gone silent
        granterFailed(answer.end.detail.empty() ? "status " + std::to_string(answer.status) : answer.end.detail, done);
        return;
    }
    const Result<quota::TokenGrant> granted = quota::parseGrant(answer.body);
    if (!granted) {
        granterFailed(granted.error().message, done);
        return;
    }
    granterAnswered();
    applyGrant(*granted);
    writeShortage(ask, *granted);
    done(granted->returns);
}

void QuotaExchange::applyGrant(const quota::TokenGrant &grant)
{
    const TimePoint now = BootClock::now();
    for (const quota::GrantedTokens &granted : grant.granted) {
        m_purse.add(granted, now);
    }
}

void QuotaExchange::granterFailed(std::string_view reason, const std::function<void(const Returns &)> &done)
{
    if (!std::exchange(m_granterLost, true)) {
        m_eventLog.write(
            EventKind::State,
            "granter-lost",
            {{"owner", m_log.ownership().owner()}, {"address", m_log.ownerAddress()}, {"reason", std::string(reason)}});
    }
    m_purse.granterFailed(BootClock::now());
    boost::asio::post(m_loop, [this, done] {
        const quota::ReturnTimes later{.first = m_options.returnWithoutGranter,
                                       .spacing = m_options.returnWithoutGranter / 4};
        done({later, later});
    });
}

void QuotaExchange::granterAnswered()
{
    if (std::exchange(m_granterLost, false)) {
        m_eventLog.write(EventKind::State, "granter-returned", {{"owner", m_log.ownership().owner()}});
    }
    m_failedAt = {};
    m_purse.granterAnswered();
}

net::Response QuotaExchange::answer(const std::string &body)
{
    if (!m_log.ownership().isOwner()) {
        return {.status = Unavailable, .body = "another instance grants tokens"};
    }
    const Result<quota::TokenAsk> ask = quota::parseAsk(body);
    if (!ask) {
        m_eventLog.write(EventKind::State, "token-request-unreadable", {{"reason", ask.error().message}});
        return {.status = BadRequest, .body = ask.error().message};
    }
    return {.body = quota::grantMessage(grant(*ask))};
}

quota::TokenGrant QuotaExchange::grant(const quota::TokenAsk &ask)
{
    const TimePoint now = BootClock::now();
    quota::TokenGrant granted = m_granter.grant(ask, share(now), now);
    std::uint32_t tokens = 0;
    for (const quota::GrantedTokens &entry : granted.granted) {
        tokens += entry.tokens;
    }
    m_grantedTokens += tokens;
    m_refusedTokens += ask.wanted[0] + ask.wanted[1] - tokens;
    return granted;
}

void QuotaExchange::writeShortage(const quota::TokenAsk &ask, const quota::TokenGrant &grant)
{
    std::uint32_t tokens = 0;
    for (const quota::GrantedTokens &entry : grant.granted) {
        tokens += entry.tokens;
    }
    if (tokens == ask.wanted[0] + ask.wanted[1]) {
        return;
    }
    double perSecond = 0;
    for (const quota::LimitedEndpoint &endpoint : ask.endpoints) {
        perSecond += endpoint.perSecond;
    }
    const auto milliseconds = [](Duration duration) {
        return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
    };
    m_eventLog.write(EventKind::Request,
                     "tokens-short",
                     {{"granter", m_log.ownership().owner()},
                      {"endpoints", std::to_string(ask.endpoints.size())},
                      {"per_second", decimal(perSecond)},
                      {"callers", std::to_string(ask.wanted[0])},
                      {"owed", std::to_string(ask.wanted[1])},
                      {"granted", std::to_string(tokens)},
                      {"callers_return_ms", milliseconds(grant.returns[0].first)},
                      {"owed_return_ms", milliseconds(grant.returns[1].first)}});
}

QuotaExchange::Counts QuotaExchange::counts() const
{
    return {
        .limitedEndpoints = m_limits.all().size(), .grantedTokens = m_grantedTokens, .refusedTokens = m_refusedTokens};
}

} // namespace bergamot::node
