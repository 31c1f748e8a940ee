#pragma once

// The software versions of each service and the streams that their endpoints began, built from the batch log. From it
// every instance tells at which software version a stream may be resumed, also when the instance that passed on its
// beginning is gone.
//
//     StreamOrigins origins;
//     origins.applyStreams({.origin = {"llm", "v1"}, .streams = {streamId("a1")}}, now);
//     origins.find(streamId("a1"), {"llm"}); // {"llm", "v1"}
//
// Load pattern: a release replaces the endpoints of a service one after the other, streams break off, and callers take
// them up at other instances. While all endpoints of a service have one version, no stream needs a record: its version
// follows from the service.

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "bergamot/base/clock.h"

namespace bergamot::batch
{

/// The endpoints that can resume a stream.
struct StreamOrigin
{
    std::string service;
    std::string softwareVersion;

    auto operator<=>(const StreamOrigin &) const = default;
};

using StreamId = std::uint64_t;

/// Identifies the stream that began in a caller's attempt.
StreamId streamId(std::string_view attempt);

struct StreamReport
{
    StreamOrigin origin;
    std::vector<StreamId> streams;
    bool doubtful = false; // another process may have begun them

    bool operator==(const StreamReport &) const = default;
};

/// What a snapshot keeps.
struct StreamOriginsState
{
    struct Software
    {
        StreamOrigin origin;
        Duration age{}; // since it was last seen
    };
    struct Streams
    {
        StreamReport report;
        Duration age{};
    };

    std::vector<Software> software;
    std::vector<Streams> streams;
};

struct StreamOriginsOptions
{
    Duration softwareRetention = std::chrono::minutes(5); // of a version that is not seen any more
    Duration streamRetention = std::chrono::minutes(2); // longer than callers wait for a stream
    std::size_t maxStreams = 20'000; // the oldest ones are dropped beyond this
};

/// Not thread-safe.
class StreamOrigins
{
public:
    explicit StreamOrigins(StreamOriginsOptions options = {})
        : m_options(options)
    { }

    // Records, in the order of the log. `now` is the time at which they are read.

    /// An endpoint of the service has the software version. Returns true if the version was not known.
    bool applySoftware(const StreamOrigin &origin, TimePoint now);
    void applyStreams(const StreamReport &report, TimePoint now);

    /// Whether the service has had endpoints of the version lately.
    bool serves(const StreamOrigin &origin) const;
    /// Whether the service has had endpoints of any known version lately.
    bool servesAny(const std::string &service) const;
    /// Time at which the version was last seen; nothing if it is not known.
    std::optional<TimePoint> seenAt(const StreamOrigin &origin) const;
    /// Whether the log names the stream.
    bool contains(StreamId stream) const;
    /// Where a stream of a route to `services` may be resumed. A stream that the log does not name can only have begun
    /// at the one version of the one service of its route. The records must reach up to the time of the question.
    std::optional<StreamOrigin> find(StreamId stream, const std::vector<std::string> &services) const;
    /// Whether the origin of a stream of a route to `services` does not follow from the service.
    bool needsRecord(const StreamOrigin &origin, const std::vector<std::string> &services) const;

    /// Forgets what is older than the retention. Returns true if a software version was forgotten.
    bool expire(TimePoint now);
    /// The log was not available for this long; nothing could be seen meanwhile.
    void logRecovered(Duration outage);
    StreamOriginsState state(TimePoint now) const;
    void restore(const StreamOriginsState &state, TimePoint now);

private:
    struct Begun
    {
        StreamOrigin origin;
        bool doubtful = false;
    };
    struct Age
    {
        StreamId stream = 0;
        TimePoint at{};
    };

    /// The only software version of the service; null if it has none or several.
    const std::string *onlyVersion(const std::string &service) const;

    StreamOriginsOptions m_options;
    std::map<std::string, std::map<std::string, TimePoint>> m_software; // by service and version, when last seen
    std::unordered_map<StreamId, Begun> m_streams;
    std::deque<Age> m_ages; // of the streams, oldest first
};

} // namespace bergamot::batch
