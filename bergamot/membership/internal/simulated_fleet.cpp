#include "bergamot/membership/internal/simulated_fleet.h"

namespace bergamot::internal
{

namespace
{

constexpr Duration TickPeriod = std::chrono::milliseconds(100);
constexpr std::uint16_t EnginePort = 9000;
constexpr std::string_view Stream = "config";
constexpr std::string_view ChangeKind = "set";

Address nodeAddress(std::uint64_t start)
{
    return {"10.0." + std::to_string(start / 250) + "." + std::to_string(start % 250), 7000};
}

} // namespace

void CountingFold::apply(const StoredRecord &stored)
{
    m_hasRegressed = m_hasRegressed || stored.offset != m_applied + 1;
    m_applied = stored.offset;
    if (stored.record.kind == ChangeKind) {
        ++m_version;
    }
}

Offset CountingFold::applied() const
{
    return m_applied;
}

std::string CountingFold::checkpoint() const
{
    return std::to_string(m_version);
}

Result<void> CountingFold::restore(const std::string &checkpoint, Offset offset)
{
    if (offset < m_applied) {
        return failure(ErrorCode::Conflict, "the checkpoint is older than the applied records");
    }
    const std::uint64_t version = std::stoull(checkpoint);
    m_hasRegressed = m_hasRegressed || version < m_version;
    m_version = version;
    m_applied = offset;
    return {};
}

std::uint64_t CountingFold::version() const
{
    return m_version;
}

bool CountingFold::hasRegressed() const
{
    return m_hasRegressed;
}

SimulatedFleet::SimulatedFleet(SimulatedFleetOptions options)
    : m_options(options)
    , m_random(options.seed)
{
    for (std::size_t domain = 0; domain < m_options.domains; ++domain) {
        for (std::size_t index = 0; index < m_options.enginesPerDomain; ++index) {
            const std::string id = engineName(domain, index);
            const auto host = static_cast<std::uint16_t>(EnginePort + index);
            m_list[id] = {ListedKind::Engine,
                          id,
                          FailureDomainId(domainName(domain)),
                          {"10.9.0." + std::to_string(domain), host},
                          ListedState::Live,
                          "model"};
            m_engines[id] = EngineState{ModelId("model"), 1, 0, 3, 1, 8};
        }
        for (std::size_t index = 0; index < m_options.instancesPerDomain; ++index) {
            start(instanceName(domain, index), domainName(domain));
        }
    }
}

std::string SimulatedFleet::domainName(std::size_t index)
{
    return "d" + std::to_string(index);
}

std::string SimulatedFleet::instanceName(std::size_t domain, std::size_t index)
{
    return domainName(domain) + "-i" + std::to_string(index);
}

std::string SimulatedFleet::engineName(std::size_t domain, std::size_t index)
{
    return domainName(domain) + "-e" + std::to_string(index);
}

void SimulatedFleet::start(const std::string &instance, const std::string &domain, std::vector<std::string> seedPeers)
{
    const auto node = std::make_shared<Node>();
    const Address address = nodeAddress(++m_starts);
    node->name = instance;
    node->domain = domain;
    node->address = toString(address);
    node->fold = std::make_unique<CountingFold>();
    node->replica = std::make_unique<StreamReplica>(std::string(Stream), *node->fold);
    DisseminationOptions options;
    options.self = {InstanceId(instance), FailureDomainId(domain), node->address, node->address};
    options.incarnation = m_starts;
    options.seedPeers = std::move(seedPeers);
    options.logReaders = m_options.logReaders;
    options.logTail.checkpoints.maxAge = m_options.checkpointPeriod;
    node->decision =
        std::make_unique<Dissemination>(options, std::vector{node->replica.get()}, [fold = node->fold.get()] {
            return fold->version();
        });
    m_nodes[instance] = node;
    m_nodeByAddress[node->address] = node;
    m_list[instance] = {ListedKind::Instance, instance, FailureDomainId(domain), address, ListedState::Live, ""};
    recordList();
    scheduleTick(node, std::chrono::milliseconds(m_random() % 100));
}

void SimulatedFleet::kill(const std::string &instance)
{
    if (const auto node = m_nodes.find(instance); node != m_nodes.end()) {
        m_hasAnyRegressed = m_hasAnyRegressed || node->second->fold->hasRegressed();
        m_nodes.erase(node);
    }
}

void SimulatedFleet::pause(const std::string &instance, Duration span)
{
    m_nodes.at(instance)->pausedUntil = m_now + span;
}

void SimulatedFleet::removeFromList(const std::string &instance)
{
    m_list.erase(instance);
    recordList();
}

void SimulatedFleet::setLogUnavailable(bool isUnavailable)
{
    m_isLogUnavailable = isUnavailable;
}

void SimulatedFleet::setListUnavailable(bool isUnavailable)
{
    m_isListUnavailable = isUnavailable;
}

void SimulatedFleet::expireLogBefore(Offset firstRetained)
{
    m_firstRetained = firstRetained;
}

void SimulatedFleet::setPlatformPartition(const std::string &domain, bool isPartitioned)
{
    if (isPartitioned) {
        m_platformPartitions.insert(domain);
    } else {
        m_platformPartitions.erase(domain);
    }
}

void SimulatedFleet::setDomainPartition(const std::string &left, const std::string &right, bool isPartitioned)
{
    const auto pair = std::minmax(left, right);
    if (isPartitioned) {
        m_domainPartitions.insert(pair);
    } else {
        m_domainPartitions.erase(pair);
    }
}

void SimulatedFleet::setEngine(const std::string &endpoint, std::optional<EngineState> state)
{
    m_engines[endpoint] = std::move(state);
}

void SimulatedFleet::recordList()
{
    std::vector<ListedMember> &list = m_listHistory[m_now];
    list.clear();
    for (const auto &[id, member] : m_list) {
        list.push_back(member);
    }
}

std::vector<ListedMember> SimulatedFleet::visibleList() const
{
    auto entry = m_listHistory.upper_bound(m_now - m_options.listLag);
    return entry == m_listHistory.begin() ? entry->second : std::prev(entry)->second;
}

void SimulatedFleet::schedule(Duration delay, Event event)
{
    m_events.emplace(m_now + delay, std::move(event));
}

void SimulatedFleet::scheduleAtNode(const std::weak_ptr<Node> &node,
                                    Duration delay,
                                    std::function<void(const NodePtr &node)> event)
{
    schedule(delay, [this, node, event = std::move(event)] {
        const NodePtr alive = node.lock();
        if (alive && m_now < alive->pausedUntil) {
            scheduleAtNode(node, alive->pausedUntil - m_now, event);
        } else if (alive) {
            event(alive);
        }
    });
}

void SimulatedFleet::run(Duration span)
{
    const TimePoint end = m_now + span;
    while (!m_events.empty() && m_events.begin()->first <= end) {
        auto event = m_events.extract(m_events.begin());
        m_now = event.key();
        event.mapped()();
    }
    m_now = end;
}

void SimulatedFleet::scheduleTick(const std::weak_ptr<Node> &node, Duration delay)
{
    scheduleAtNode(node, delay, [this, node](const NodePtr &alive) {
        for (Action &action : alive->decision->tick(m_now)) {
            perform(alive, std::move(action));
        }
        scheduleTick(node, TickPeriod);
    });
}

void SimulatedFleet::perform(const NodePtr &node, Action action)
{
    if (auto *digest = std::get_if<SendDigest>(&action)) {
        sendDigest(node, std::move(*digest));
    } else if (const auto *read = std::get_if<ReadLog>(&action)) {
        readLog(node, *read);
    } else if (const auto *checkpoint = std::get_if<AppendCheckpoint>(&action)) {
        appendCheckpoint(node, *checkpoint);
    } else if (std::holds_alternative<FetchList>(action)) {
        fetchList(node);
    } else if (const auto *endpoint = std::get_if<EndpointPoll>(&action)) {
        poll(node, *endpoint);
    }
}

Offset SimulatedFleet::append(std::string kind, std::string payload)
{
    const Offset offset = logEnd();
    m_log.push_back({offset, {{"operator", 1, offset}, std::move(kind), std::move(payload)}});
    return offset;
}

std::uint64_t SimulatedFleet::publishChange()
{
    append(std::string(ChangeKind), R"({"change":"a plan of an ordinary size, with the names that it touches"})");
    return ++m_version;
}

void SimulatedFleet::appendUnrelatedRecords(std::size_t count)
{
    for (; count > 0; --count) {
        append("noise", "{}");
    }
}

std::vector<std::string> SimulatedFleet::instances() const
{
    std::vector<std::string> names;
    for (const auto &[name, node] : m_nodes) {
        names.push_back(name);
    }
    return names;
}

std::vector<std::string> SimulatedFleet::relays(const std::string &domain) const
{
    std::vector<std::string> names;
    for (const auto &[name, node] : m_nodes) {
        if (node->domain == domain && node->decision->isRelay()) {
            names.push_back(name);
        }
    }
    return names;
}

Dissemination &SimulatedFleet::node(const std::string &instance)
{
    return *m_nodes.at(instance)->decision;
}

std::uint64_t SimulatedFleet::versionOn(const std::string &instance) const
{
    return m_nodes.at(instance)->fold->version();
}

bool SimulatedFleet::hasRegressed() const
{
    return m_hasAnyRegressed || std::any_of(m_nodes.begin(), m_nodes.end(), [](const auto &node) {
               return node.second->fold->hasRegressed();
           });
}

std::vector<std::string> SimulatedFleet::missing(std::uint64_t version) const
{
    std::vector<std::string> names;
    for (const auto &[name, node] : m_nodes) {
        if (node->fold->version() < version) {
            names.push_back(name);
        }
    }
    return names;
}

std::optional<Duration> SimulatedFleet::timeUntilEverywhere(std::uint64_t version, Duration limit)
{
    const TimePoint start = m_now;
    while (!missing(version).empty()) {
        if (m_now - start >= limit) {
            return std::nullopt;
        }
        run(std::chrono::milliseconds(50));
    }
    return m_now - start;
}

Offset SimulatedFleet::logEnd() const
{
    return m_log.size() + 1;
}

TimePoint SimulatedFleet::now() const
{
    return m_now;
}

NodeTraffic SimulatedFleet::traffic(const std::string &instance) const
{
    return m_nodes.at(instance)->traffic;
}

std::uint64_t SimulatedFleet::checkpointsAppended() const
{
    return m_checkpoints;
}

} // namespace bergamot::internal
