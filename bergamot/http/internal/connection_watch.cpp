#include "bergamot/http/internal/connection_watch.h"

#include <arpa/inet.h>
#include <dirent.h>
#include <fcntl.h>
#include <linux/sockios.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdlib>
#include <optional>
#include <set>
#include <utility>

namespace bergamot::http_internal
{

namespace
{

constexpr const char *OwnDescriptors = "/proc/self/fd";
constexpr const char *AnyIp = "0.0.0.0";

/// Owns one descriptor.
class Descriptor
{
public:
    explicit Descriptor(int number)
        : m_number(number)
    { }

    ~Descriptor()
    {
        if (m_number >= 0) {
            ::close(m_number);
        }
    }

    Descriptor(Descriptor &&other) noexcept
        : m_number(std::exchange(other.m_number, -1))
    { }

    Descriptor(const Descriptor &) = delete;
    Descriptor &operator=(const Descriptor &) = delete;
    Descriptor &operator=(Descriptor &&) = delete;

    int number() const
    {
        return m_number;
    }

private:
    int m_number;
};

std::vector<int> ownDescriptors()
{
    std::vector<int> numbers;
    DIR *directory = ::opendir(OwnDescriptors);
    if (directory == nullptr) {
        return numbers;
    }
    while (const dirent *entry = ::readdir(directory)) {
        char *end = nullptr;
        const long number = std::strtol(entry->d_name, &end, 10);
        if (end != entry->d_name && *end == '\0') {
            numbers.push_back(static_cast<int>(number));
        }
    }
    ::closedir(directory);
    return numbers;
}

/// The peer of a TCP connection whose own end is `local`, or nothing.
std::optional<sockaddr_in> peerOf(int descriptor, const Address &local)
{
    sockaddr_in name{};
    socklen_t size = sizeof(name);
    if (::getsockname(descriptor, reinterpret_cast<sockaddr *>(&name), &size) != 0 || name.sin_family != AF_INET
        || ntohs(name.sin_port) != local.port) {
        return std::nullopt;
    }
    in_addr ip{};
    inet_pton(AF_INET, local.ip.c_str(), &ip);
    if (local.ip != AnyIp && ip.s_addr != name.sin_addr.s_addr) {
        return std::nullopt;
    }
    sockaddr_in peer{};
    size = sizeof(peer);
    const bool connected = ::getpeername(descriptor, reinterpret_cast<sockaddr *>(&peer), &size) == 0;
    return connected ? std::optional(peer) : std::nullopt;
}

std::optional<tcp_info> infoOf(int descriptor)
{
    tcp_info info{};
    socklen_t size = sizeof(info);
    if (::getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) {
        return std::nullopt;
    }
    return info;
}

std::uint64_t unsentBytes(int descriptor)
{
    int bytes = 0;
    return ::ioctl(descriptor, SIOCOUTQ, &bytes) == 0 ? static_cast<std::uint64_t>(bytes) : 0;
}

void close(int descriptor, ConnectionVerdict verdict)
{
    switch (verdict) {
    case ConnectionVerdict::Keep:
        return;
    case ConnectionVerdict::StopReading:
        ::shutdown(descriptor, SHUT_RD);
        return;
    case ConnectionVerdict::Cut:
        // Once the library has closed it, the peer is told at once and what it never took is dropped.
        const linger noWait{.l_onoff = 1, .l_linger = 0};
        ::setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &noWait, sizeof(noWait));
        ::shutdown(descriptor, SHUT_RDWR);
        return;
    }
}

} // namespace

struct ConnectionWatch::Accepted
{
    Descriptor descriptor;
    Peer peer;
    tcp_info info;
};

ConnectionWatch::ConnectionWatch(Address local, ConnectionLimits limits)
    : m_local(std::move(local))
    , m_limits(limits)
{ }

std::vector<ConnectionWatch::Accepted> ConnectionWatch::acceptedConnections() const
{
    std::vector<Accepted> accepted;
    std::set<Peer> seen; // a number that is listed may be that of a duplicate by the time it is reached
    for (const int number : ownDescriptors()) {
        if (!peerOf(number, m_local)) {
            continue;
        }
        Descriptor own(::fcntl(number, F_DUPFD_CLOEXEC, 0));
        const std::optional<sockaddr_in> name = peerOf(own.number(), m_local);
        const std::optional<tcp_info> info = infoOf(own.number());
        if (!name || !info) {
            continue;
        }
        const Peer peer(name->sin_addr.s_addr, name->sin_port);
        if (seen.insert(peer).second) {
            accepted.push_back({std::move(own), peer, *info});
        }
    }
    return accepted;
}

std::uint64_t ConnectionWatch::unansweredBytes(const Accepted &accepted)
{
    const std::uint64_t sent = accepted.info.tcpi_bytes_acked;
    const std::uint64_t received = accepted.info.tcpi_bytes_received;
    const auto known = m_marks.find(accepted.peer);
    Mark mark = known == m_marks.end() ? Mark() : known->second;
    if (mark.sent != sent || mark.received > received) {
        mark = {.sent = sent, .received = received};
    }
    m_nextMarks[accepted.peer] = mark;
    return received - mark.received;
}

std::size_t ConnectionWatch::closeByLimits()
{
    const std::vector<Accepted> accepted = acceptedConnections();
    std::vector<ConnectionState> states;
    states.reserve(accepted.size());
    m_nextMarks.clear();
    for (const Accepted &each : accepted) {
        states.push_back({.sinceReceived = std::chrono::milliseconds(each.info.tcpi_last_data_recv),
                          .sinceSent = std::chrono::milliseconds(each.info.tcpi_last_data_sent),
                          .unsentBytes = unsentBytes(each.descriptor.number()),
                          .unansweredBytes = unansweredBytes(each)});
    }
    m_marks.swap(m_nextMarks);
    const std::vector<ConnectionVerdict> verdicts = judgeConnections(states, m_limits);
    for (std::size_t index = 0; index < accepted.size(); ++index) {
        close(accepted[index].descriptor.number(), verdicts[index]);
    }
    return accepted.size();
}

} // namespace bergamot::http_internal
