#pragma once

// A model engine whose runs have the length that the body of the item names ("events=80"). It takes orders to load
// weight versions, can crash, and records when each item was at it.
//
//     Engine engine(loop, store, {.id = "e1", .service = "llm", .models = {{"m", 1}}}, runs);
//     engine.listen();

#include <map>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "platform/standins/store_standin.h"

namespace bergamot::review
{

/// A run of an item at an engine.
struct EngineRun
{
    std::string engine;
    TimePoint begin{};
    TimePoint end{}; // zero while it runs
    bool complete = false;
};

using EngineRuns = std::map<std::string, std::vector<EngineRun>>; // by item

struct EngineOptions
{
    std::string id;
    std::string service;
    std::map<std::string, std::uint64_t> models; // weight version by model
    std::uint32_t slots = 8;
    Duration eventInterval = std::chrono::milliseconds(100);
    Duration loadTime = std::chrono::milliseconds(900);
    bool trapsCrash = false; // whether it crashes when it begins to run a request whose body names a trap
    Duration downtime = std::chrono::seconds(2); // from such a crash until it is back
};

/// Not thread-safe.
class Engine
{
public:
    Engine(boost::asio::io_context &loop, platform::StoreStandin &store, EngineOptions options, EngineRuns &runs);

    bool listen();
    /// Crashes and does not come back; its entry is removed after three heartbeat intervals.
    void crashForGood();
    const std::string &id() const;
    std::uint64_t version(const std::string &model) const;
    std::size_t running() const;
    /// Times of its crashes.
    const std::vector<TimePoint> &crashes() const;

private:
    struct Stream
    {
        std::shared_ptr<net::Exchange> exchange;
        std::string item;
        std::string model;
        std::uint64_t version = 0; // that was last sent
        std::size_t run = 0; // index among the runs of the item
        std::uint64_t next = 1;
        std::uint64_t last = 1;
        std::unique_ptr<boost::asio::steady_timer> timer;
    };

    void beat();
    std::string modelsJson() const;
    void handle(const std::shared_ptr<net::Exchange> &exchange);
    void order(const std::shared_ptr<net::Exchange> &exchange);
    void run(const std::shared_ptr<net::Exchange> &exchange);
    void sendEvent(const std::shared_ptr<Stream> &stream);
    void end(const std::shared_ptr<Stream> &stream, bool complete);
    void goDown();
    void crash();

    boost::asio::io_context &m_loop;
    platform::StoreStandin &m_store;
    EngineOptions m_options;
    EngineRuns &m_runs;
    net::HttpServer m_server;
    boost::asio::steady_timer m_beatTimer;
    boost::asio::steady_timer m_restartTimer;
    boost::asio::steady_timer m_loadTimer;
    std::map<std::string, std::uint64_t> m_versions; // by model
    std::string m_loading; // the model whose weights it loads; empty: none
    std::uint64_t m_orders = 0; // that it has accepted
    std::uint16_t m_port = 0;
    std::uint64_t m_born = 1000; // of the process, in milliseconds
    std::uint64_t m_sequence = 0;
    bool m_down = false;
    std::vector<TimePoint> m_crashes;
    std::set<std::shared_ptr<Stream>> m_streams;
};

} // namespace bergamot::review
