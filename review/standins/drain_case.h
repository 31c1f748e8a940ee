#pragma once

// LOST: two of the three nodes of a zone are stopped in turn while consumers stream. The balancer of the platform uses
// all nodes of a zone when fewer than half are in rotation, so a stopping node gets new requests until it ends.

#include "platform/standins/endpoint_standin.h"
#include "review/standins/review_case.h"

namespace bergamot::review
{

/// Not thread-safe.
class DrainCase final : public ReviewCase
{
public:
    DrainCase(boost::asio::io_context &loop, platform::StoreStandin &store, CaseOptions options);

    void start() override;

private:
    struct Rotation
    {
        int misses = 2; // in a row; two take the node out
        std::optional<Duration> stoppedAt; // when it got SIGTERM
    };

    struct Stream
    {
        std::string id;
        std::size_t node = 0;
        Duration sentAt{};
        std::size_t events = 0;
        int status = 0;
    };

    void probe();
    bool inRotation(std::size_t node) const;
    /// A node for a new connection, as the platform's balancer chooses it.
    std::size_t chooseNode();
    void waitUntilReady();
    void sendStreams();
    void send();
    void ended(const Stream &stream, const net::CallEnd &end);
    void stopNode(std::size_t node);

    platform::EndpointObservations m_observations;
    std::vector<std::unique_ptr<platform::EndpointStandin>> m_engines;
    std::vector<Rotation> m_rotation;
    std::mt19937_64 m_random{1};
    std::size_t m_sent = 0;
    std::size_t m_completed = 0;
    std::size_t m_refused = 0;
    std::size_t m_broken = 0;
    std::size_t m_excused = 0;
    bool m_listening = true;
    bool m_sending = false;
};

} // namespace bergamot::review
