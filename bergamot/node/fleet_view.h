#pragma once

// What this instance knows of configuration, named weight versions and listed endpoints, followed from the platform's
// store. Versions of the configuration never fall.
//
//     FleetView view(loop, store, codec, log);
//     view.onChange([&] { router.onView(...); });
//     view.start();

#include <functional>
#include <map>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "bergamot/base/event_log.h"
#include "bergamot/fleet/configuration.h"
#include "bergamot/fleet/endpoint_directory.h"
#include "bergamot/logstore/topic_tail.h"
#include "bergamot/node/platform_codec.h"

namespace bergamot::node
{

/// Not thread-safe.
class FleetView
{
public:
    FleetView(boost::asio::io_context &loop,
              logstore::LogStore &store,
              const PlatformCodec &codec,
              EventLog &log,
              Duration pace);
    ~FleetView();

    void start();
    /// Whether a configuration and a list of endpoints have been read.
    bool complete() const;
    /// Time since the store last confirmed the configuration.
    Duration configurationAge(TimePoint now) const;
    const fleet::Configuration &configuration() const;
    const std::map<std::string, std::uint64_t> &namedVersions() const;
    const std::map<std::string, fleet::Endpoint> &endpoints() const;
    void onConfiguration(std::function<void()> handler);
    void onEndpoints(std::function<void()> handler);
    void onNamedVersion(std::function<void()> handler);
    /// An endpoint that was listed before has written again, without a start in between.
    void onHeartbeat(std::function<void(const std::string &endpoint)> handler);
    /// Drops endpoints that did not come back after an outage. Call it a few times a second.
    void tick(TimePoint now);
    /// Time between two reads that brought records.
    void setPace(Duration pace);

private:
    void readOperators();
    void readEndpoints();
    void takeOperatorRecord(const logstore::KeyedRecord &record);
    void takeEndpointRecord(const logstore::KeyedRecord &record);
    std::optional<fleet::Endpoint> parseEndpoint(const logstore::KeyedRecord &record);

    logstore::LogStore &m_store;
    const PlatformCodec &m_codec;
    EventLog &m_log;
    boost::asio::steady_timer m_retryOperators;
    boost::asio::steady_timer m_retryEndpoints;
    std::unique_ptr<logstore::TopicTail> m_operatorTail;
    std::unique_ptr<logstore::TopicTail> m_endpointTail;
    fleet::Configuration m_configuration;
    std::map<std::string, std::uint64_t> m_namedVersions;
    fleet::EndpointDirectory m_directory;
    bool m_operatorsRead = false;
    bool m_endpointsRead = false;
    bool m_endpointsChanged = false;
    std::function<void()> m_configurationHandler;
    std::function<void()> m_endpointsHandler;
    std::function<void()> m_versionHandler;
    std::function<void(const std::string &)> m_heartbeatHandler;
};

} // namespace bergamot::node
