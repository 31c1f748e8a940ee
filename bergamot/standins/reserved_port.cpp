#include "bergamot/standins/reserved_port.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace bergamot
{

ReservedPort::ReservedPort(const std::string &ip)
    : m_address{ip, 0}
    , m_descriptor(::socket(AF_INET, SOCK_STREAM, 0))
{
    sockaddr_in name{};
    name.sin_family = AF_INET;
    socklen_t size = sizeof(name);
    auto *generic = reinterpret_cast<sockaddr *>(&name);
    m_held = ::inet_pton(AF_INET, ip.c_str(), &name.sin_addr) == 1 && ::bind(m_descriptor, generic, size) == 0
        && ::getsockname(m_descriptor, generic, &size) == 0;
    if (m_held) {
        m_address.port = ntohs(name.sin_port);
        allowSharing(m_descriptor); // after `bind`, which takes a port that nobody else has
    }
}

ReservedPort::~ReservedPort()
{
    ::close(m_descriptor);
}

bool ReservedPort::held() const
{
    return m_held;
}

const Address &ReservedPort::address() const
{
    return m_address;
}

void ReservedPort::allowSharing(int descriptor)
{
    const int yes = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEPORT, &yes, sizeof(yes));
}

} // namespace bergamot
