#pragma once

// A machine of the deployment: the process of one node, which the platform starts, stops and kills.
//
//     NodeMachine machine({.program = "target/bin/bergamot-node", .folder = folder, .name = "node-1", .store =
//     address}); machine.start(); machine.signal(SIGTERM);

#include <cstdint>
#include <string>
#include <sys/types.h>

#include "bergamot/base/address.h"

namespace bergamot::review
{

struct NodeMachineOptions
{
    std::string program;
    std::string folder; // for settings and logs
    std::string name;
    std::string zone;
    Address store;
    double memoryMegabytes = 270;
};

/// Not thread-safe.
class NodeMachine
{
public:
    /// Draws free ports and writes the settings file.
    explicit NodeMachine(NodeMachineOptions options);
    /// Kills the process if it still runs.
    ~NodeMachine();
    NodeMachine(const NodeMachine &) = delete;
    NodeMachine &operator=(const NodeMachine &) = delete;

    const std::string &name() const;
    Address callers() const;
    Address readiness() const;
    bool start();
    void signal(int number) const;
    /// Whether the process runs; collects one that has ended.
    bool running();
    /// Resident memory of the process in megabytes; 0 if it has ended.
    double residentMegabytes() const;

private:
    Address address(std::uint16_t port) const;

    NodeMachineOptions m_options;
    std::uint16_t m_callersPort = 0;
    std::uint16_t m_readinessPort = 0;
    std::uint16_t m_metricsPort = 0;
    std::uint16_t m_peerPort = 0;
    std::string m_settings; // path
    pid_t m_process = -1;
};

} // namespace bergamot::review
