#include "bergamot/node/fleet_view.h"

#include <algorithm>
#include <array>

#include <boost/asio/post.hpp>

#include "bergamot/node/store_events.h"

namespace bergamot::node
{

namespace
{

constexpr std::size_t MaxConfirmations = 1000; // calls that wait for the newest configuration

constexpr std::size_t MaxNamedEndpoints = 20; // in one log line

/// The event that reports what an entry has changed; empty if it is not reported.
constexpr std::array<std::pair<fleet::EntryOutcome, std::string_view>, 7> EntryEvents{{
    {fleet::EntryOutcome::Listed, "endpoint-listed"},
    {fleet::EntryOutcome::Restarted, "endpoint-restarted"},
    {fleet::EntryOutcome::Draining, "endpoint-draining"},
    {fleet::EntryOutcome::ReadyAgain, "endpoint-ready-again"},
    {fleet::EntryOutcome::Outdated, "endpoint-entry-outdated"},
    {fleet::EntryOutcome::Removed, "endpoint-gone"},
    {fleet::EntryOutcome::Kept, "endpoint-kept"},
}};

std::string_view eventName(fleet::EntryOutcome outcome)
{
    const auto found = std::find_if(EntryEvents.begin(), EntryEvents.end(), [outcome](const auto &event) {
        return event.first == outcome;
    });
    return found == EntryEvents.end() ? std::string_view() : found->second;
}

void notify(const std::function<void()> &handler)
{
    if (handler) {
        handler();
    }
}

} // namespace

FleetView::FleetView(boost::asio::io_context &loop,
                     logstore::LogStore &store,
                     const PlatformCodec &codec,
                     EventLog &log,
                     FleetViewOptions options,
                     std::uint64_t seed)
    : m_loop(loop)
    , m_codec(codec)
    , m_log(log)
    , m_operatorReader(loop, store, {.topic = codec.operatorTopic()}, seed)
    , m_endpointReader(loop, store, {.topic = codec.endpointTopic()}, seed + 1)
    , m_confirmation(store,
                     codec.operatorTopic(),
                     {},
                     [this](const std::string &reason) {
                         m_log.write(EventKind::State,
                                     "log-end-unknown",
                                     {{"topic", m_codec.operatorTopic()}, {"reason", reason}});
                     })
    , m_directory(options.endpoints)
{
    logstore::TopicTailEvents operators;
    operators.onRecord = [this](std::uint64_t offset, const std::string &bytes) {
        if (const auto record = logstore::splitKeyed(bytes, offset)) {
            applyOperatorRecord(*record);
        }
    };
    operators.onReadEnd = [this] {
        m_confirmation.advance(m_operatorTail->nextOffset(), BootClock::now());
    };
    operators.onGap = [this](std::uint64_t) {
        readOperatorTopic();
    };
    operators.onUnavailable = [this](const logstore::TailOutage &outage) {
        writeStoreLost(m_log, "configuration", outage);
    };
    operators.onRecovered = [this](Duration outage) {
        writeStoreReturned(m_log, "configuration", outage);
    };
    m_operatorTail = std::make_unique<logstore::TopicTail>(
        loop,
        store,
        logstore::TopicTailOptions{.topic = codec.operatorTopic(), .reads = {.readPause = options.topicReadPause}},
        std::move(operators),
        seed + 2);

    logstore::TopicTailEvents endpoints;
    endpoints.onRecord = [this](std::uint64_t offset, const std::string &bytes) {
        if (const auto record = logstore::splitKeyed(bytes, offset)) {
            applyEndpointRecord(*record);
        }
    };
    endpoints.onReadEnd = [this] {
        confirmRemovals();
        if (std::exchange(m_endpointsChanged, false)) {
            notify(m_endpointsHandler);
        }
    };
    endpoints.onGap = [this](std::uint64_t) {
        readEndpointTopic();
    };
    endpoints.onUnavailable = [this](const logstore::TailOutage &outage) {
        writeStoreLost(m_log, "endpoints", outage);
    };
    endpoints.onRecovered = [this](Duration outage) {
        writeStoreReturned(m_log, "endpoints", outage);
        m_directory.storeRecovered(BootClock::now());
    };
    m_endpointTail = std::make_unique<logstore::TopicTail>(
        loop,
        store,
        logstore::TopicTailOptions{.topic = codec.endpointTopic(), .reads = {.readPause = options.topicReadPause}},
        std::move(endpoints),
        seed + 3);
}

FleetView::~FleetView() = default;

void FleetView::start()
{
    readOperatorTopic();
    readEndpointTopic();
}

bool FleetView::complete() const
{
    return m_configuration.version() > 0 && m_endpointsRead;
}

TimePoint FleetView::configurationConfirmedAt() const
{
    return m_operatorReader.reading() ? TimePoint() : m_operatorTail->confirmedAt();
}

Duration FleetView::configurationAge(TimePoint now) const
{
    const TimePoint confirmedAt = configurationConfirmedAt();
    return confirmedAt == TimePoint() ? Duration::max() : now - confirmedAt;
}

Duration FleetView::timeSinceResponse(TimePoint now) const
{
    return m_operatorTail->timeSinceResponse(now);
}

const fleet::Configuration &FleetView::configuration() const
{
    return m_configuration;
}

void FleetView::confirmConfiguration(std::function<void(bool)> done)
{
    if (!m_operatorsRead || m_operatorReader.reading() || m_confirmation.waiting() >= MaxConfirmations) {
        boost::asio::post(m_loop, [done = std::move(done)] {
            done(false);
        });
        return;
    }
    m_confirmation.ask(m_operatorTail->nextOffset(), BootClock::now(), [this, done = std::move(done)](bool confirmed) {
        done(confirmed && !m_operatorReader.reading()); // a reader that reads fills a gap
    });
}

const std::map<std::string, std::uint64_t> &FleetView::namedVersions() const
{
    return m_namedVersions;
}

const std::map<std::string, fleet::Endpoint> &FleetView::endpoints() const
{
    return m_directory.endpoints();
}

Duration FleetView::endpointsAge(TimePoint now) const
{
    const TimePoint confirmedAt = endpointsConfirmedAt();
    return confirmedAt == TimePoint() ? Duration::max() : now - confirmedAt;
}

TimePoint FleetView::endpointsConfirmedAt() const
{
    return m_endpointReader.reading() ? TimePoint() : m_endpointTail->confirmedAt();
}

void FleetView::onConfiguration(std::function<void()> handler)
{
    m_configurationHandler = std::move(handler);
}

void FleetView::onEndpoints(std::function<void()> handler)
{
    m_endpointsHandler = std::move(handler);
}

void FleetView::onEndpointLeaving(std::function<void()> handler)
{
    m_endpointLeavingHandler = std::move(handler);
}

void FleetView::endpointLeaving(const std::string &endpoint, std::uint64_t incarnation, std::string_view source)
{
    if (!m_directory.markLeaving(endpoint, incarnation, BootClock::now())) {
        return;
    }
    m_log.write(
        EventKind::State,
        "endpoint-leaving",
        {{"endpoint", endpoint}, {"incarnation", std::to_string(incarnation)}, {"source", std::string(source)}});
    notify(m_endpointLeavingHandler);
}

void FleetView::onNamedVersion(std::function<void()> handler)
{
    m_namedVersionHandler = std::move(handler);
}

void FleetView::onHeartbeat(std::function<void(const std::string &, std::uint64_t, TimePoint)> handler)
{
    m_heartbeatHandler = std::move(handler);
}

void FleetView::tick(TimePoint now)
{
    if (m_operatorsRead) {
        m_confirmation.advance(m_operatorTail->nextOffset(), now);
    }
    // An endpoint may have registered again in records that have not arrived.
    const std::vector<std::string> dropped = m_directory.expire(std::min(now, endpointsConfirmedAt()));
    if (!dropped.empty()) {
        writeDropped("endpoints-not-back", dropped);
        notify(m_endpointsHandler);
    }
}

void FleetView::setTopicReadPause(Duration topicReadPause)
{
    m_operatorTail->setReadPause(topicReadPause);
    m_endpointTail->setReadPause(topicReadPause);
}

void FleetView::readOperatorTopic()
{
    m_operatorReader.read([this, startedAt = BootClock::now()](const logstore::KeyedContent &content) {
        writeTopicRead("configuration", content, startedAt);
        for (const logstore::KeyedRecord &record : content.records) {
            applyOperatorRecord(record);
        }
        if (!std::exchange(m_operatorsRead, true)) {
            m_operatorTail->start(content.end);
        }
    });
}

void FleetView::readEndpointTopic()
{
    m_followedEndpoints.clear();
    m_endpointReader.read([this, startedAt = BootClock::now()](const logstore::KeyedContent &content) {
        writeTopicRead("endpoints", content, startedAt);
        std::map<std::string, fleet::EndpointEntry> registered;
        std::map<std::string, EntryRead> reads;
        for (const logstore::KeyedRecord &record : content.records) {
            EntryRead &read = reads[record.key];
            read.offset = record.offset;
            if (std::optional<fleet::EndpointEntry> entry = parseEndpoint(record)) {
                read.version = {.incarnation = entry->endpoint.incarnation, .sequence = entry->sequence};
                registered.emplace(record.key, std::move(*entry));
            }
        }
        // Of endpoints that changed meanwhile, the follower has read a newer record than this one, or will read it.
        const std::vector<fleet::EntryChange> changes =
            m_directory.replace(std::move(registered), m_followedEndpoints, BootClock::now());
        if (!std::exchange(m_endpointsRead, true)) {
            m_endpointTail->start(content.end);
        } else {
            for (const fleet::EntryChange &change : changes) {
                EntryRead &read = reads[change.id];
                read.source = "page";
                writeEntryOutcome(change.id, read, change.outcome);
            }
            confirmRemovals();
        }
        notify(m_endpointsHandler);
    });
}

void FleetView::writeTopicRead(std::string_view view, const logstore::KeyedContent &content, TimePoint startedAt)
{
    m_log.write(EventKind::State,
                "topic-read",
                {{"view", std::string(view)},
                 {"records", std::to_string(content.records.size())},
                 {"failures", std::to_string(content.failures)},
                 {"took_ms", milliseconds(BootClock::now() - startedAt)}});
}

void FleetView::applyOperatorRecord(const logstore::KeyedRecord &record)
{
    if (record.value.empty()) {
        return;
    }
    Result<OperatorRecord> parsed = m_codec.operatorRecord(record.key, record.value);
    if (!parsed) {
        m_log.write(
            EventKind::State, "operator-record-unreadable", {{"key", record.key}, {"reason", parsed.error().message}});
        return;
    }
    if (auto *configuration = std::get_if<fleet::Configuration>(&*parsed)) {
        if (configuration->version() <= m_configuration.version()) {
            return;
        }
        m_configuration = std::move(*configuration);
        m_log.write(EventKind::State,
                    "configuration-in-force",
                    {{"version", std::to_string(m_configuration.version())},
                     {"routes", std::to_string(m_configuration.routes().size())}});
        notify(m_configurationHandler);
    } else if (const auto *named = std::get_if<NamedVersion>(&*parsed)) {
        std::uint64_t &newest = m_namedVersions[named->model];
        if (named->version > newest) {
            newest = named->version;
            m_log.write(EventKind::State,
                        "version-named",
                        {{"model", named->model}, {"version", std::to_string(named->version)}});
            notify(m_namedVersionHandler);
        }
    }
}

std::optional<fleet::EndpointEntry> FleetView::parseEndpoint(const logstore::KeyedRecord &record)
{
    if (record.value.empty()) {
        return std::nullopt;
    }
    Result<fleet::EndpointEntry> entry = m_codec.endpoint(record.key, record.value);
    if (!entry) {
        m_log.write(EventKind::State,
                    "endpoint-entry-unreadable",
                    {{"endpoint", record.key}, {"reason", entry.error().message}});
        return std::nullopt;
    }
    return std::move(*entry);
}

void FleetView::applyEndpointRecord(const logstore::KeyedRecord &record)
{
    std::optional<fleet::EndpointEntry> entry = parseEndpoint(record);
    m_followedEndpoints.insert(record.key);
    EntryRead read{.offset = record.offset, .source = "follower"};
    if (entry) {
        read.version = {.incarnation = entry->endpoint.incarnation, .sequence = entry->sequence};
    }
    const auto before = m_directory.endpoints().find(record.key);
    const bool sameProcess =
        entry && before != m_directory.endpoints().end() && before->second.incarnation == read.version.incarnation;
    const fleet::EntryOutcome outcome =
        entry ? m_directory.put(std::move(*entry)) : m_directory.remove(record.key, BootClock::now());
    if (sameProcess && outcome != fleet::EntryOutcome::Outdated && m_heartbeatHandler) {
        m_heartbeatHandler(record.key, read.version.incarnation, m_endpointTail->recordsAppendedAfter());
    }
    m_endpointsChanged = m_endpointsChanged || fleet::changesEndpoints(outcome);
    writeEntryOutcome(record.key, read, outcome);
}

void FleetView::confirmRemovals()
{
    if (!m_endpointTail->caughtUp() || m_endpointReader.reading()) {
        return;
    }
    const std::vector<std::string> dropped = m_directory.confirmRemovals(BootClock::now());
    if (!dropped.empty()) {
        writeDropped("endpoints-gone", dropped);
        m_endpointsChanged = true;
    }
}

void FleetView::writeDropped(std::string_view event, const std::vector<std::string> &dropped)
{
    std::string ids;
    for (std::size_t index = 0; index < std::min(dropped.size(), MaxNamedEndpoints); ++index) {
        ids += index == 0 ? dropped[index] : "," + dropped[index];
    }
    m_log.write(EventKind::State,
                event,
                {{"endpoints", ids},
                 {"count", std::to_string(dropped.size())},
                 {"listed", std::to_string(endpoints().size())}});
}

void FleetView::writeEntryOutcome(const std::string &endpoint, const EntryRead &entry, fleet::EntryOutcome outcome)
{
    const std::string_view event = eventName(outcome);
    if (event.empty()) {
        return;
    }
    m_log.write(EventKind::State,
                event,
                {{"endpoint", endpoint},
                 {"incarnation", std::to_string(entry.version.incarnation)},
                 {"sequence", entry.version.sequence ? std::to_string(*entry.version.sequence) : "unknown"},
                 {"offset", std::to_string(entry.offset)},
                 {"source", std::string(entry.source)}});
}

} // namespace bergamot::node
