#pragma once

// An HTTP server for stand-ins, on Boost.Beast, that can fail as a process does: it closes its port and every
// connection at once, and drops a single connection without a byte of answer. cpprestsdk's listener can do neither:
// while another one of the process is open, a closed one's port still answers 404.
//
//     IoThreads threads(2);
//     CrashableHttpServer server(threads, {"127.0.0.1", 0}, [](HttpRequest request, DroppableResponderPtr responder) {
//         responder->drop();
//     });
//     server.start();

#include <functional>
#include <memory>

#include "bergamot/base/address.h"
#include "bergamot/http/message.h"

namespace bergamot
{

/// A responder that can also close its connection.
class DroppableResponder : public Responder
{
public:
    /// Closes the connection; what was not sent yet is lost.
    virtual void drop() = 0;
};

using DroppableResponderPtr = std::shared_ptr<DroppableResponder>;

/// Threads that carry any number of servers. Outlives them.
class IoThreads
{
public:
    explicit IoThreads(std::size_t count);
    ~IoThreads();
    IoThreads(const IoThreads &) = delete;
    IoThreads &operator=(const IoThreads &) = delete;

    struct Impl;
    Impl &impl();

private:
    std::unique_ptr<Impl> m_impl;
};

/// Thread-safe, except that `start` and `stop` may not be called by the handler. The handler runs on the threads given
/// and must not block. A responder that goes without an answer drops its connection.
class CrashableHttpServer
{
public:
    using Handler = std::function<void(HttpRequest request, DroppableResponderPtr responder)>;

    CrashableHttpServer(IoThreads &threads, Address address, Handler handler);
    ~CrashableHttpServer();
    CrashableHttpServer(const CrashableHttpServer &) = delete;
    CrashableHttpServer &operator=(const CrashableHttpServer &) = delete;

    /// Opens the port; port 0 takes a free one, which later starts keep.
    Result<void> start();
    Address address() const;
    /// Closes the port and every connection; they are refused or broken once this returns.
    void stop();

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace bergamot
