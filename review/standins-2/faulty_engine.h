#pragma once

// A model engine with faults: it sends a second copy of one answer, or crashes under an item.
//
//     FaultyEngine engine(loop, fleet.store, fleet.record, {.id = "i-e1", .failures = 2, .extraAnswer = true});
//     engine.listen();

#include <map>
#include <memory>
#include <string>

#include <boost/asio/ip/tcp.hpp>

#include "fleet.h"

namespace review
{

struct FaultyEngineOptions
{
    std::string id;
    std::string service;
    std::string model;
    std::string failingItem;
    int failures = 0; // the first runs of this item are answered with 500
    bool extraAnswer = false; // the first of these answers is sent twice
    std::string crashingItem; // the engine crashes whenever it begins a run of this item
    Duration runTime = std::chrono::milliseconds(100); // until the answer to a run
    Duration extraDelay = std::chrono::milliseconds(20); // from an answer to its copy
    Duration downtime = std::chrono::milliseconds(2000); // after a crash
};

/// What the engine has done, by item.
struct SeenAnswers
{
    std::vector<std::int64_t> crashes; // milliseconds since the start of the record
    int runs = 0;
    int failures = 0; // runs answered with 500
    int completed = 0; // runs answered with the whole text
};

/// Serves one request at a time on a connection, in the order of their arrival.
class FaultyEngine
{
public:
    FaultyEngine(boost::asio::io_context &loop, Store &store, Record &record, FaultyEngineOptions options);
    bool listen();
    const std::map<std::string, SeenAnswers> &answers() const
    {
        return m_answers;
    }

private:
    struct Connection;

    bool open();
    void accept();
    void crash();
    void read(const std::shared_ptr<Connection> &connection);
    /// Answers the first complete request of the connection, unless one is in progress.
    void serveNext(const std::shared_ptr<Connection> &connection);
    void answerRun(const std::shared_ptr<Connection> &connection, const std::string &id);
    void write(const std::shared_ptr<Connection> &connection, const std::string &bytes);
    void beat();

    boost::asio::io_context &m_loop;
    Store &m_store;
    Record &m_record;
    FaultyEngineOptions m_options;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_beatTimer;
    std::map<std::string, SeenAnswers> m_answers;
    std::vector<std::weak_ptr<Connection>> m_connections;
    boost::asio::steady_timer m_restartTimer;
    boost::asio::ip::tcp::endpoint m_endpoint{boost::asio::ip::address_v4::loopback(), 0};
    std::uint64_t m_born = 1;
    std::uint64_t m_beats = 0;
    bool m_extraSent = false;
};

} // namespace review
