#pragma once

// A TCP proxy on loopback that reads the requests of its connections and can answer a request in the place of
// the target, or be cut off: then connections stay open or are accepted, and carry nothing further.
//
//     WatchedProxy proxy(loop, target, [](const WatchedRequest &request) { return AnswerFate::Passed; });
//     proxy.listen();

#include <functional>
#include <memory>
#include <set>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "bergamot/base/address.h"

namespace bergamot::review
{

struct WatchedRequest
{
    std::string line; // method, target and protocol
    std::string head; // with the line
    std::string body;
};

enum class AnswerFate {
    Passed,
    Done, // the proxy answers with 200, and the target gets nothing
    Full, // the proxy answers with 507, and the target gets nothing
};

/// Not thread-safe.
class WatchedProxy
{
public:
    /// The observer sees each request before the last of it reaches the target.
    using Observer = std::function<AnswerFate(const WatchedRequest &request)>;
    /// Called once for each request that the observer let pass: `whole` tells whether its chunked answer went by to its
    /// end.
    using EndObserver = std::function<void(const WatchedRequest &request, bool whole)>;

    WatchedProxy(boost::asio::io_context &loop, Address target, Observer observer);
    ~WatchedProxy();
    WatchedProxy(const WatchedProxy &) = delete;
    WatchedProxy &operator=(const WatchedProxy &) = delete;

    /// Listens on a free port of 127.0.0.1. Returns false if that fails.
    bool listen();
    Address address() const;
    /// Ends all connections, and refuses new ones.
    void shutDown();

    EndObserver onEnd;
    bool cut = false; // silently: connections stay open or are accepted, and carry nothing

private:
    class Link;

    void accept();

    boost::asio::io_context &m_loop;
    Address m_target;
    Observer m_observer;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::set<std::shared_ptr<Link>> m_links;
};

} // namespace bergamot::review
