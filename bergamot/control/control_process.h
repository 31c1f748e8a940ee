#pragma once

// The control process of one instance: every part of the system that is not on the request path, on one loop. Any
// instance may hold any duty.
//
//     ControlProcess process(options);
//     Result<void> started = process.start();
//     process.shutDown(std::chrono::seconds(30)); // gives duties back and cuts off nothing in flight

#include <functional>
#include <memory>

#include "bergamot/control/fleet_node.h"

namespace bergamot
{

struct ControlOptions
{
    InstanceId instance;
    FailureDomainId domain;
    std::uint64_t incarnation = 0;
    Address listenAddress; // frames
    Address httpAddress; // operators and trainers
    Address entryAddress;
    Address logAddress;
    Address listAddress;
    Address weightStoreAddress;
    std::vector<std::string> seedPeers;
    LogReaders logReaders = LogReaders::Relays;
    std::chrono::milliseconds checkpointAge{std::chrono::minutes(5)};
    std::uint32_t protocol = NewestProtocol; // of the inner protocol
    std::uint32_t oldestProtocol = OldestProtocol;
};

class ControlProcess
{
public:
    explicit ControlProcess(ControlOptions options);
    ~ControlProcess();
    ControlProcess(const ControlProcess &) = delete;
    ControlProcess &operator=(const ControlProcess &) = delete;

    /// Opens both ports and starts to follow the fleet.
    Result<void> start();
    /// Announces that this instance is draining, hands back its duties, finishes what is in flight, and closes. Duties
    /// and evidence get at most `limit`, and so do the answers in flight after that.
    void shutDown(std::chrono::milliseconds limit);
    /// Runs a task on the thread of this process's decisions. Tests hold that thread up, as a pause of the process
    /// does.
    void post(std::function<void()> task);

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace bergamot
