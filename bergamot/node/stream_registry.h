#pragma once

// Tells at which software version a caller's stream may be resumed, whichever instance passed on its beginning: reports
// the streams that begin here and the software versions that this instance sees to the batch log, and looks up streams
// that callers take up.
//
//     StreamRegistry streams(batchLog, eventLog, {}, seed);
//     streams.began({.attempt = "a1", .services = {"llm"}, .origin = {"llm", "v1"}, .process = process});
//     streams.find("a1", {"llm"}, [](std::optional<batch::StreamOrigin> origin) { ... });
//
// Load pattern: a third of the instances is killed just after endpoints crashed; callers take up the streams of both at
// the remaining instances and at those that have just started. Streams that begin while the log is being written go
// into the next append together.

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "bergamot/base/endpoint_process.h"
#include "bergamot/base/event_log.h"
#include "bergamot/fleet/endpoint_directory.h"
#include "bergamot/node/batch_log.h"

namespace bergamot::node
{

struct StreamRegistryOptions
{
    std::size_t maxUnreported = 4096; // streams that wait for the log; further ones cannot be resumed elsewhere
    std::size_t maxRecent = 4096; // streams that began here and are remembered here
    Duration recentRetention = std::chrono::minutes(2); // longer than callers wait for a stream
    Duration softwareRefresh = std::chrono::seconds(150); // half of the time after which the log forgets a version
    Duration softwareReportDelay = std::chrono::milliseconds(500); // of an instance that does not own the pool
    Duration softwareReportJitter = std::chrono::milliseconds(1000); // keeps the reports of instances apart
    Duration softwareRepeat = std::chrono::seconds(2); // until a report that is not read is repeated
};

/// The beginning of a stream.
struct BegunStream
{
    std::string attempt; // of the caller
    std::vector<std::string> services; // of the route
    batch::StreamOrigin origin; // the software version is empty if it is not known
    EndpointProcess process;
};

/// Not thread-safe.
class StreamRegistry
{
public:
    using Found = std::function<void(std::optional<batch::StreamOrigin> origin)>;

    StreamRegistry(BatchLog &log, EventLog &eventLog, StreamRegistryOptions options, std::uint64_t seed);

    /// An endpoint has begun to answer with a stream.
    void began(const BegunStream &stream);
    /// Calls `done`, never from within, with the origin of the stream that began in `attempt`; with nothing if it is
    /// not known for certain.
    void find(const std::string &attempt, const std::vector<std::string> &services, Found done);
    /// Whether streams may begin at the endpoint: every instance can learn that its version serves.
    bool mayBegin(const fleet::Endpoint &endpoint) const;
    void setEndpoints(const std::map<std::string, fleet::Endpoint> &endpoints, TimePoint now);
    /// The process was alive at `aliveAt`, so no later process of the endpoint had answered before.
    void endpointAlive(const EndpointProcess &process, TimePoint aliveAt);
    /// Reports software versions that the log lacks. Call it often.
    void tick(TimePoint now);

private:
    struct Recent
    {
        batch::StreamOrigin origin;
        EndpointProcess process;
        TimePoint beganAt{};
        bool doubtful = false;
    };
    struct Age
    {
        batch::StreamId stream = 0;
        TimePoint at{};
    };

    void report(const batch::StreamOrigin &origin, batch::StreamId stream, bool doubtful);
    void flush();
    void expireRecent(TimePoint now);
    /// The streams that began at earlier processes of the endpoint, as far as is known, may have begun at this one.
    void doubtStreams(const fleet::Endpoint &registered);

    BatchLog &m_log;
    EventLog &m_eventLog;
    StreamRegistryOptions m_options;
    std::mt19937_64 m_random;
    std::unordered_map<batch::StreamId, Recent> m_recent;
    std::deque<Age> m_recentAges; // oldest first
    std::map<std::string, std::vector<batch::StreamId>> m_unproven; // by endpoint: not known to run since the beginning
    std::map<std::string, EndpointProcess> m_processes; // by endpoint
    std::map<batch::StreamOrigin, TimePoint> m_softwareReportAt; // of the listed versions: earliest time of a report
    std::map<std::pair<batch::StreamOrigin, bool>, std::vector<batch::StreamId>> m_unreported; // by origin and doubt
    std::size_t m_unreportedCount = 0;
    bool m_reporting = false;
};

} // namespace bergamot::node
