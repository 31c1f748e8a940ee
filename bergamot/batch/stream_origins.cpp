#include "bergamot/batch/stream_origins.h"

#include <algorithm>

#include "bergamot/base/hash.h"

namespace bergamot::batch
{

StreamId streamId(std::string_view attempt)
{
    return stableHash(attempt);
}

bool StreamOrigins::applySoftware(const StreamOrigin &origin, TimePoint now)
{
    const auto [entry, added] = m_software[origin.service].try_emplace(origin.softwareVersion, now);
    entry->second = std::max(entry->second, now);
    return added;
}

void StreamOrigins::applyStreams(const StreamReport &report, TimePoint now)
{
    for (const StreamId stream : report.streams) {
        const auto [entry, added] = m_streams.try_emplace(stream, Begun{report.origin, report.doubtful});
        if (added) {
            m_ages.push_back({stream, now});
        } else {
            // An identifier that was used twice proves nothing.
            entry->second.doubtful = entry->second.doubtful || report.doubtful || entry->second.origin != report.origin;
        }
    }
    while (m_ages.size() > m_options.maxStreams) {
        m_streams.erase(m_ages.front().stream);
        m_ages.pop_front();
    }
}

bool StreamOrigins::serves(const StreamOrigin &origin) const
{
    return seenAt(origin).has_value();
}

bool StreamOrigins::servesAny(const std::string &service) const
{
    return m_software.contains(service);
}

std::optional<TimePoint> StreamOrigins::seenAt(const StreamOrigin &origin) const
{
    const auto service = m_software.find(origin.service);
    if (service == m_software.end()) {
        return std::nullopt;
    }
    const auto version = service->second.find(origin.softwareVersion);
    return version == service->second.end() ? std::nullopt : std::optional(version->second);
}

bool StreamOrigins::contains(StreamId stream) const
{
    return m_streams.contains(stream);
}

std::optional<StreamOrigin> StreamOrigins::find(StreamId stream, const std::vector<std::string> &services) const
{
    const auto begun = m_streams.find(stream);
    if (begun != m_streams.end()) {
        const StreamOrigin &origin = begun->second.origin;
        const bool routed = std::find(services.begin(), services.end(), origin.service) != services.end();
        return routed && !begun->second.doubtful ? std::optional(origin) : std::nullopt;
    }
    const std::string *version = services.size() == 1 ? onlyVersion(services.front()) : nullptr;
    return version == nullptr ? std::nullopt : std::optional(StreamOrigin{services.front(), *version});
}

bool StreamOrigins::needsRecord(const StreamOrigin &origin, const std::vector<std::string> &services) const
{
    const std::string *version = services.size() == 1 ? onlyVersion(origin.service) : nullptr;
    return version == nullptr || *version != origin.softwareVersion;
}

const std::string *StreamOrigins::onlyVersion(const std::string &service) const
{
    const auto found = m_software.find(service);
    return found == m_software.end() || found->second.size() != 1 ? nullptr : &found->second.begin()->first;
}

bool StreamOrigins::expire(TimePoint now)
{
    while (!m_ages.empty() && now - m_ages.front().at > m_options.streamRetention) {
        m_streams.erase(m_ages.front().stream);
        m_ages.pop_front();
    }
    std::size_t forgotten = 0;
    for (auto &[service, versions] : m_software) {
        forgotten += std::erase_if(versions, [&](const auto &version) {
            return now - version.second > m_options.softwareRetention;
        });
    }
    std::erase_if(m_software, [](const auto &service) {
        return service.second.empty();
    });
    return forgotten > 0;
}

void StreamOrigins::logRecovered(Duration outage)
{
    for (auto &[service, versions] : m_software) {
        for (auto &[version, at] : versions) {
            at += outage;
        }
    }
    for (Age &age : m_ages) {
        age.at += outage;
    }
}

StreamOriginsState StreamOrigins::state(TimePoint now) const
{
    constexpr Duration AgeStep = std::chrono::seconds(10); // streams of one step share a group
    StreamOriginsState state;
    for (const auto &[service, versions] : m_software) {
        for (const auto &[version, at] : versions) {
            state.software.push_back({.origin = {service, version}, .age = now - at});
        }
    }
    using Group = std::tuple<Duration::rep, StreamOrigin, bool>;
    std::map<Group, std::vector<StreamId>, std::greater<>> groups; // oldest first
    for (const Age &age : m_ages) {
        const Begun &begun = m_streams.at(age.stream);
        groups[{(now - age.at) / AgeStep, begun.origin, begun.doubtful}].push_back(age.stream);
    }
    for (auto &[group, streams] : groups) {
        const auto &[step, origin, doubtful] = group;
        state.streams.push_back(
            {.report = {.origin = origin, .streams = std::move(streams), .doubtful = doubtful}, .age = step * AgeStep});
    }
    return state;
}

void StreamOrigins::restore(const StreamOriginsState &state, TimePoint now)
{
    m_software.clear();
    m_streams.clear();
    m_ages.clear();
    for (const StreamOriginsState::Software &software : state.software) {
        applySoftware(software.origin, now - software.age);
    }
    for (const StreamOriginsState::Streams &streams : state.streams) {
        applyStreams(streams.report, now - streams.age);
    }
}

} // namespace bergamot::batch
