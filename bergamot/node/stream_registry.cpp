#include "bergamot/node/stream_registry.h"

namespace bergamot::node
{

StreamRegistry::StreamRegistry(BatchLog &log, EventLog &eventLog, StreamRegistryOptions options, std::uint64_t seed)
    : m_log(log)
    , m_eventLog(eventLog)
    , m_options(options)
    , m_random(seed)
{ }

void StreamRegistry::began(const BegunStream &stream)
{
    const TimePoint now = BootClock::now();
    const batch::StreamId id = batch::streamId(stream.attempt);
    const auto registered = m_processes.find(stream.process.endpoint.value());
    const bool doubtful = stream.origin.softwareVersion.empty() || registered == m_processes.end()
        || registered->second != stream.process;
    const bool recorded = doubtful || m_log.streamOrigins().needsRecord(stream.origin, stream.services);
    m_eventLog.write(EventKind::Request,
                     "stream-began",
                     {{"request", stream.attempt},
                      {"service", stream.origin.service},
                      {"endpoint", stream.process.endpoint.value()},
                      {"incarnation", std::to_string(stream.process.incarnation)},
                      {"software", stream.origin.softwareVersion},
                      {"resumable", doubtful ? "no" : "yes"},
                      {"recorded", recorded ? "yes" : "no"}});
    expireRecent(now);
    const auto [entry, added] = m_recent.try_emplace(
        id, Recent{.origin = stream.origin, .process = stream.process, .beganAt = now, .doubtful = doubtful});
    if (added) {
        m_recentAges.push_back({id, now});
        m_unproven[stream.process.endpoint.value()].push_back(id);
    } else {
        // An identifier that was used twice proves nothing.
        entry->second.doubtful = entry->second.doubtful || doubtful || entry->second.origin != stream.origin;
    }
    if (recorded) {
        report(stream.origin, id, doubtful);
    }
}

void StreamRegistry::find(const std::string &attempt, const std::vector<std::string> &services, Found done)
{
    const batch::StreamId id = batch::streamId(attempt);
    // Reading the log up to now also shows what other instances have reported about this stream.
    m_log.confirmIndex([this, attempt, id, services, done = std::move(done)](bool confirmed) {
        const auto recent = m_recent.find(id);
        const bool doubtful = recent != m_recent.end() && recent->second.doubtful;
        std::optional<batch::StreamOrigin> origin;
        std::string_view source = "log";
        if (doubtful) {
            source = "doubtful";
        } else if (m_log.streamOrigins().contains(id)) {
            origin = m_log.streamOrigins().find(id, services);
        } else if (recent != m_recent.end()) {
            source = "this instance";
            const bool routed =
                std::find(services.begin(), services.end(), recent->second.origin.service) != services.end();
            origin = routed ? std::optional(recent->second.origin) : std::nullopt;
        } else if (!confirmed) {
            source = "store unavailable";
        } else {
            source = "only version";
            origin = m_log.streamOrigins().find(id, services);
        }
        m_eventLog.write(EventKind::Request,
                         origin ? "stream-found" : "stream-unknown",
                         {{"began_in", attempt},
                          {"source", std::string(source)},
                          {"service", origin ? origin->service : std::string()},
                          {"software", origin ? origin->softwareVersion : std::string()},
                          {"offset", std::to_string(m_log.nextOffset())}});
        done(std::move(origin));
    });
}

bool StreamRegistry::mayBegin(const fleet::Endpoint &endpoint) const
{
    const batch::StreamOrigins &origins = m_log.streamOrigins();
    return endpoint.softwareVersion.empty() ? !origins.servesAny(endpoint.service)
                                            : origins.serves({endpoint.service, endpoint.softwareVersion});
}

void StreamRegistry::setEndpoints(const std::map<std::string, fleet::Endpoint> &endpoints, TimePoint now)
{
    std::map<std::string, EndpointProcess> processes;
    std::map<batch::StreamOrigin, TimePoint> reportAt;
    for (const auto &[id, endpoint] : endpoints) {
        const EndpointProcess process{EndpointId(id), endpoint.incarnation};
        processes.emplace(id, process);
        const auto before = m_processes.find(id);
        if (before == m_processes.end() || before->second != process) {
            doubtStreams(endpoint);
        }
        const batch::StreamOrigin origin{endpoint.service, endpoint.softwareVersion};
        if (!origin.softwareVersion.empty()) {
            const auto known = m_softwareReportAt.find(origin);
            reportAt.emplace(origin, known == m_softwareReportAt.end() ? now : known->second);
        }
    }
    m_processes = std::move(processes);
    m_softwareReportAt = std::move(reportAt);
}

void StreamRegistry::doubtStreams(const fleet::Endpoint &registered)
{
    const auto unproven = m_unproven.find(registered.id);
    if (unproven == m_unproven.end()) {
        return;
    }
    for (const batch::StreamId id : unproven->second) {
        const auto recent = m_recent.find(id);
        if (recent != m_recent.end() && recent->second.process.incarnation != registered.incarnation
            && recent->second.origin != batch::StreamOrigin{registered.service, registered.softwareVersion}) {
            recent->second.doubtful = true;
            report(recent->second.origin, id, true);
        }
    }
    m_unproven.erase(unproven);
}

void StreamRegistry::endpointAlive(const EndpointProcess &process, TimePoint aliveAt)
{
    const auto unproven = m_unproven.find(process.endpoint.value());
    if (unproven == m_unproven.end()) {
        return;
    }
    std::erase_if(unproven->second, [&](batch::StreamId id) {
        const auto recent = m_recent.find(id);
        return recent == m_recent.end() || (recent->second.process == process && recent->second.beganAt <= aliveAt);
    });
    if (unproven->second.empty()) {
        m_unproven.erase(unproven);
    }
}

void StreamRegistry::tick(TimePoint now)
{
    expireRecent(now);
    if (!m_log.mayConfirm()) {
        return;
    }
    const bool owner = m_log.ownership().isOwner();
    for (auto &[origin, reportAt] : m_softwareReportAt) {
        const std::optional<TimePoint> seenAt = m_log.streamOrigins().seenAt(origin);
        if (seenAt && now - *seenAt < m_options.softwareRefresh) {
            reportAt = now;
            continue;
        }
        if (reportAt > now) {
            continue;
        }
        std::uniform_int_distribution<Duration::rep> jitter(0, m_options.softwareReportJitter.count());
        const Duration delay = m_options.softwareReportDelay + Duration(jitter(m_random));
        if (owner || now - reportAt >= delay) {
            m_log.reportSoftware(origin);
            reportAt = now + m_options.softwareRepeat;
        }
    }
}

void StreamRegistry::report(const batch::StreamOrigin &origin, batch::StreamId stream, bool doubtful)
{
    if (m_unreportedCount >= m_options.maxUnreported) {
        m_eventLog.write(EventKind::State,
                         "not-reported",
                         {{"about", "stream " + std::to_string(stream)}, {"reason", "too many wait for the store"}});
        return;
    }
    m_unreported[{origin, doubtful}].push_back(stream);
    ++m_unreportedCount;
    flush();
}

void StreamRegistry::flush()
{
    if (m_reporting || m_unreported.empty()) {
        return;
    }
    m_reporting = true;
    m_unreportedCount = 0;
    std::vector<batch::StreamReport> reports;
    for (auto &[key, streams] : std::exchange(m_unreported, {})) {
        reports.push_back({.origin = key.first, .streams = std::move(streams), .doubtful = key.second});
    }
    m_log.reportStreams(reports, [this] {
        m_reporting = false;
        flush();
    });
}

void StreamRegistry::expireRecent(TimePoint now)
{
    while (
        !m_recentAges.empty()
        && (now - m_recentAges.front().at > m_options.recentRetention || m_recentAges.size() > m_options.maxRecent)) {
        m_recent.erase(m_recentAges.front().stream);
        m_recentAges.pop_front();
    }
    if (m_recent.empty()) {
        m_unproven.clear();
    }
}

} // namespace bergamot::node
