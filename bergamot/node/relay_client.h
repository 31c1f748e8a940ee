#pragma once

// Hands requests that this instance cannot send, because it is cut off from the endpoints, to instances that reach
// them.
//
//     RelayClient relay(loop, client, batchLog, eventLog, {.instance = "node-1", .zone = "a"}, seed);
//     relay.start(id, request, refusal, attemptsLeft, sink);
//     relay.callerDisconnected(id);
//
// A request is handed on once: the instance that gets it sends it to endpoints or refuses it. It goes to another
// instance only if the first one proves that it did not run, or if it may run more than once.

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "bergamot/base/event_log.h"
#include "bergamot/net/http_client.h"
#include "bergamot/node/batch_log.h"
#include "bergamot/node/request_forwarder.h"
#include "bergamot/relay/peer_choice.h"

namespace bergamot::node
{

struct RelayClientOptions
{
    std::string instance;
    std::string zone;
    std::size_t maxPeers = 3; // that one request is handed to, one after the other
    Duration connectTimeout = std::chrono::milliseconds(250); // instances of a region answer within milliseconds
    Duration minTimeLeft = std::chrono::milliseconds(50); // with less, a request is refused instead
    Duration deadlineMargin = std::chrono::milliseconds(10); // for the hop, off the time that the peer is given
    Duration flowCheck = std::chrono::milliseconds(5); // while a caller is behind its stream
    // Decides whether there is room for the copies of a request that are made to send it; null: there always is.
    const net::MemoryAccount *account = nullptr;
};

/// Not thread-safe.
class RelayClient
{
public:
    RelayClient(boost::asio::io_context &loop,
                net::HttpClient &client,
                BatchLog &log,
                EventLog &eventLog,
                RelayClientOptions options,
                std::uint64_t seed);
    ~RelayClient();

    /// Takes the request over, unless no instance is known that reaches endpoints; then returns false. `refusal` is the
    /// answer if all of them refuse. The request may be sent to `attemptsLeft` more endpoints.
    bool start(RequestId id,
               const ForwardRequest &request,
               const RefuseAction &refusal,
               std::uint32_t attemptsLeft,
               const std::shared_ptr<ForwardSink> &sink);
    /// Ends the work for a request; its sink is not called any more.
    void callerDisconnected(RequestId id);
    /// Asks some instances whether they reach endpoints and could own the pool; `done` gets how many, and true if one
    /// could.
    void askReach(std::function<void(std::size_t asked, bool reaches)> done);
    std::size_t pending() const;

private:
    struct Relay
    {
        ForwardRequest request;
        std::shared_ptr<ForwardSink> sink;
        RefuseAction refusal; // unless an instance says more
        std::uint32_t attemptsLeft = 1;
        std::set<std::string> tried;
        std::string peer;
        std::shared_ptr<net::ClientCall> call;
        net::Response response;
        bool answered = false; // the peer passes on an endpoint's response
        bool streaming = false;
        bool paused = false;
    };

    struct PeerRefusal
    {
        bool mayHaveRun = false;
        bool unhelpful = false; // the peer cannot send other requests either
        bool outdated = false; // this instance acts on what is not so any more, whoever is asked
    };

    /// Whether the copies that are made to relay the request fit into memory.
    bool hasRoomFor(const ForwardRequest &request) const;
    bool sendToNextPeer(RequestId id);
    void handleHead(RequestId id, const net::ResponseHead &head);
    void handleData(RequestId id, std::string_view data);
    void handleEnd(RequestId id, const net::CallEnd &end);
    /// The peer has not passed on an endpoint's response.
    void handleRefusal(RequestId id, const PeerRefusal &peerRefusal, const std::string &reason);
    void adjustFlow(RequestId id);
    static Duration timeLeft(const Relay &relay);
    void writeRelay(std::string_view event, const Relay &relay, const std::string &detail);

    boost::asio::io_context &m_loop;
    net::HttpClient &m_client;
    BatchLog &m_log;
    EventLog &m_eventLog;
    RelayClientOptions m_options;
    relay::PeerChoice m_peers;
    std::map<RequestId, Relay> m_relays;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace bergamot::node
