#pragma once

// A server for tests that accepts TCP connections and misbehaves by script, and counts the requests that reached it
// whole. Raw sockets, one thread for each connection.
//
//     FaultyTcpServer server({.fault = TcpFault::CloseAfterRequest, .answersBefore = 1});
//     // the first request on each connection is answered; under the second one it closes
//     call(server.address());
//     EXPECT_EQ(server.requestCount(), 2);

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <limits>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "bergamot/base/address.h"
#include "bergamot/standins/reserved_port.h"

namespace bergamot
{

enum class TcpFault {
    None, // every request is answered
    CloseBeforeRequest, // without reading
    CloseDuringRequest, // after the first byte
    CloseAfterRequest, // without an answer
    HalfAnswer, // the head and a part of the body, then closes
    CutAnswer, // the first `answerBytes` of head and body, then closes
    LateAnswer, // once `releaseLateAnswers` is called
    Silent, // reads on, answers nothing for good
};

struct FaultyTcpServerOptions
{
    TcpFault fault = TcpFault::None;
    std::uint32_t answersBefore = 0; // requests of a connection that are answered before the fault
    std::uint32_t faultyConnections = std::numeric_limits<std::uint32_t>::max(); // later ones have no fault
    int status = 200;
    std::string body = "{}";
    std::size_t answerBytes = 0; // for `TcpFault::CutAnswer`
};

/// Thread-safe. Reads requests with Content-Length or without body.
class FaultyTcpServer
{
public:
    /// Listens on a free port of 127.0.0.1.
    explicit FaultyTcpServer(FaultyTcpServerOptions options);
    ~FaultyTcpServer();
    FaultyTcpServer(const FaultyTcpServer &) = delete;
    FaultyTcpServer &operator=(const FaultyTcpServer &) = delete;

    Address address() const;
    /// New connections are refused, open ones go on. The port stays reserved.
    void refuseConnections();
    /// What an answer without a fault sends.
    std::string wholeAnswer() const;
    /// Sends the answers held back by `TcpFault::LateAnswer`; later ones are not held back.
    void releaseLateAnswers();

    /// Connections that are open now are never answered on again; new ones work.
    void silenceOpenConnections();

    /// Requests received whole, head and body, whatever became of them.
    std::size_t requestCount() const;
    /// Their text, in the order of arrival.
    std::vector<std::string> requests() const;
    std::size_t connectionCount() const;
    /// False if fewer than `count` whole requests came within `limit`.
    bool waitForRequests(std::size_t count, std::chrono::milliseconds limit) const;

private:
    enum class Next {
        GoOn,
        Close,
    };

    void listen();
    void acceptAll();
    void serve(int descriptor, TcpFault fault, std::size_t connection);
    Next serveRequest(int descriptor, TcpFault fault, std::size_t connection, std::string &unread);
    bool silenced(std::size_t connection) const;
    Next misbehave(int descriptor, TcpFault fault);
    Next answer(int descriptor) const;
    void record(std::string request);
    bool waitForRelease();

    FaultyTcpServerOptions m_options;
    ReservedPort m_port{"127.0.0.1"};
    int m_listener = -1;
    mutable std::mutex m_mutex;
    mutable std::condition_variable m_changed;
    std::vector<std::string> m_requests;
    std::vector<int> m_descriptors; // of open connections
    std::vector<std::thread> m_threads;
    std::size_t m_connections = 0;
    std::size_t m_silenced = 0; // connections before this one
    bool m_released = false;
    bool m_stopping = false;
    std::thread m_acceptor;
};

} // namespace bergamot
