#pragma once

// This instance's view of the configuration, the named weight versions and the registered endpoints, followed from the
// platform's store. The version of the configuration never decreases.
//
//     FleetView view(loop, store, codec, log, {.topicReadPause = pause}, seed);
//     view.onEndpoints([&] { forwarder.updateEndpoints(...); });
//     view.start();

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include <boost/asio/io_context.hpp>

#include "bergamot/base/event_log.h"
#include "bergamot/fleet/configuration.h"
#include "bergamot/fleet/endpoint_directory.h"
#include "bergamot/logstore/end_confirmation.h"
#include "bergamot/logstore/keyed_reader.h"
#include "bergamot/logstore/topic_tail.h"
#include "bergamot/node/platform_codec.h"

namespace bergamot::node
{

struct FleetViewOptions
{
    Duration topicReadPause = std::chrono::milliseconds(200); // delay after a read of a topic that returned records
    fleet::EndpointDirectoryOptions endpoints;
};

/// Reads both topics in full, then follows them. Not thread-safe.
class FleetView
{
public:
    FleetView(boost::asio::io_context &loop,
              logstore::LogStore &store,
              const PlatformCodec &codec,
              EventLog &log,
              FleetViewOptions options,
              std::uint64_t seed);
    ~FleetView();

    /// Starts reading; the handlers must be set before.
    void start();
    /// Whether a configuration and the endpoints have been read.
    bool complete() const;
    /// The configuration contains whatever was in the store at this time. `TimePoint()` while records are missing.
    TimePoint configurationConfirmedAt() const;
    /// Upper bound of the age of the configuration; the maximum while records are missing.
    Duration configurationAge(TimePoint now) const;
    /// Time since the last response of the store to a read of the configuration's topic.
    Duration timeSinceResponse(TimePoint now) const;
    const fleet::Configuration &configuration() const;
    /// Calls `done` with true once the configuration is at least as new as the newest that was in the store at the time
    /// of this call; with false if that is not known in time, or too many calls wait for it. Never calls `done` from
    /// within.
    void confirmConfiguration(std::function<void(bool confirmed)> done);
    const std::map<std::string, std::uint64_t> &namedVersions() const;
    const std::map<std::string, fleet::Endpoint> &endpoints() const;
    /// Upper bound of the age of the endpoints' entries; the maximum while records are missing.
    Duration endpointsAge(TimePoint now) const;
    void onConfiguration(std::function<void()> handler);
    void onEndpoints(std::function<void()> handler);
    /// `handler` runs when an endpoint takes no new requests any more because one of its answers said so.
    void onEndpointLeaving(std::function<void()> handler);
    /// An answer of this incarnation of the endpoint said that it is leaving. `source` names the kind of the answer.
    void endpointLeaving(const std::string &endpoint, std::uint64_t incarnation, std::string_view source);
    void onNamedVersion(std::function<void()> handler);
    /// `handler` runs when a registered endpoint has written its entry again without a restart, some time after
    /// `aliveAt`.
    void
    onHeartbeat(std::function<void(const std::string &endpoint, std::uint64_t incarnation, TimePoint aliveAt)> handler);
    /// Removes endpoints that did not register again after an outage. Call it a few times a second.
    void tick(TimePoint now);
    /// Changes the delay after a read that returned records.
    void setTopicReadPause(Duration topicReadPause);

private:
    /// Where an entry was read, and which one it was; without a version if it was removed.
    struct EntryRead
    {
        fleet::EntryVersion version;
        std::uint64_t offset = 0; // of the record
        std::string_view source;
    };

    TimePoint endpointsConfirmedAt() const;
    void readOperatorTopic();
    void readEndpointTopic();
    void writeTopicRead(std::string_view view, const logstore::KeyedContent &content, TimePoint startedAt);
    void applyOperatorRecord(const logstore::KeyedRecord &record);
    void applyEndpointRecord(const logstore::KeyedRecord &record);
    std::optional<fleet::EndpointEntry> parseEndpoint(const logstore::KeyedRecord &record);
    /// Drops endpoints whose removal was put off and turns out not to come from an outage of the store.
    void confirmRemovals();
    void writeDropped(std::string_view event, const std::vector<std::string> &dropped);
    /// Logs what reading the entry of an endpoint, or its removal, has changed.
    void writeEntryOutcome(const std::string &endpoint, const EntryRead &entry, fleet::EntryOutcome outcome);

    boost::asio::io_context &m_loop;
    const PlatformCodec &m_codec;
    EventLog &m_log;
    logstore::KeyedReader m_operatorReader;
    logstore::KeyedReader m_endpointReader;
    logstore::EndConfirmation m_confirmation; // of the configuration
    std::unique_ptr<logstore::TopicTail> m_operatorTail;
    std::unique_ptr<logstore::TopicTail> m_endpointTail;
    fleet::Configuration m_configuration;
    std::map<std::string, std::uint64_t> m_namedVersions;
    fleet::EndpointDirectory m_directory;
    std::set<std::string> m_followedEndpoints; // changed by the follower since all entries were last requested
    bool m_operatorsRead = false;
    bool m_endpointsRead = false;
    bool m_endpointsChanged = false;
    std::function<void()> m_configurationHandler;
    std::function<void()> m_endpointsHandler;
    std::function<void()> m_endpointLeavingHandler;
    std::function<void()> m_namedVersionHandler;
    std::function<void(const std::string &, std::uint64_t, TimePoint)> m_heartbeatHandler;
};

} // namespace bergamot::node
