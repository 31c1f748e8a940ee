#include "review/standins-3/node_machine.h"

#include <csignal>
#include <cstdlib>
#include <fstream>

#include <fcntl.h>
#include <netinet/in.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace bergamot::review
{

namespace
{

/// A port of 127.0.0.1 that is free now; 0 if there is none.
std::uint16_t freePort()
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in own{};
    own.sin_family = AF_INET;
    own.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(own);
    const bool bound = ::bind(socket, reinterpret_cast<const sockaddr *>(&own), size) == 0
        && ::getsockname(socket, reinterpret_cast<sockaddr *>(&own), &size) == 0;
    ::close(socket);
    return bound ? ntohs(own.sin_port) : 0;
}

} // namespace

NodeMachine::NodeMachine(NodeMachineOptions options)
    : m_options(std::move(options))
    , m_callersPort(freePort())
    , m_readinessPort(freePort())
    , m_metricsPort(freePort())
    , m_peerPort(freePort())
    , m_settings(m_options.folder + "/" + m_options.name + ".conf")
{
    // The lines of deploy/node.conf, with the values of a small deployment.
    std::ofstream settings(m_settings);
    settings << "instance = " << m_options.name << "\nzone = " << m_options.zone << "\nlisten = " << toString(callers())
             << "\nready-listen = " << toString(readiness())
             << "\nmetrics-listen = " << toString(address(m_metricsPort))
             << "\npeer-listen = " << toString(address(m_peerPort)) << "\nstore = " << toString(m_options.store)
             << "\nstore-record-bytes = 262144\nstore-call-bytes = 2097152\ncpu-share = 0.5\nmemory-mb = "
             << m_options.memoryMegabytes
             << "\nfile-descriptors = 8200\ngrace-s = 8\nresults-kept-s = 120\norder-lease-ms = 3000"
             << "\nstore-partitions = 12\n";
}

NodeMachine::~NodeMachine()
{
    if (running()) {
        signal(SIGKILL);
        ::waitpid(m_process, nullptr, 0);
    }
}

const std::string &NodeMachine::name() const
{
    return m_options.name;
}

Address NodeMachine::address(std::uint16_t port) const
{
    return {"127.0.0.1", port};
}

Address NodeMachine::callers() const
{
    return address(m_callersPort);
}

Address NodeMachine::readiness() const
{
    return address(m_readinessPort);
}

bool NodeMachine::start()
{
    const std::string log = m_options.folder + "/" + m_options.name + ".log";
    constexpr mode_t OwnerOnly = 0600;
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, OwnerOnly);
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    std::string program = m_options.program;
    std::string flag = "--settings";
    std::array<char *, 4> arguments{program.data(), flag.data(), m_settings.data(), nullptr};
    const int failed = ::posix_spawn(&m_process, program.c_str(), &actions, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (failed != 0) {
        m_process = -1;
    }
    return failed == 0;
}

void NodeMachine::signal(int number) const
{
    if (m_process > 0) {
        ::kill(m_process, number);
    }
}

bool NodeMachine::running()
{
    if (m_process > 0 && ::waitpid(m_process, nullptr, WNOHANG) == m_process) {
        m_process = -1;
    }
    return m_process > 0;
}

double NodeMachine::residentMegabytes() const
{
    constexpr std::string_view Resident = "VmRSS:";
    constexpr double KilobytesPerMegabyte = 1024;
    std::ifstream status("/proc/" + std::to_string(m_process) + "/status");
    for (std::string line; m_process > 0 && std::getline(status, line);) {
        if (line.starts_with(Resident)) {
            return std::strtod(line.c_str() + Resident.size(), nullptr) / KilobytesPerMegabyte;
        }
    }
    return 0;
}

} // namespace bergamot::review
