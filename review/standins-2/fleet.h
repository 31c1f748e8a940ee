#pragma once

// Stand-ins for the platform of one small deployment: its store, model engines, an operator and trainers. They speak
// what the users' pages say and write what they see to a record, from which the cases judge the rules.
//
//     Fleet fleet(loop, settings);
//     fleet.addEngine({.id = "e1", .service = "llm", .models = {{"m", 1}}});
//     fleet.nodesReady();

#include <cstdio>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "bergamot/logstore/memory_log.h"
#include "bergamot/net/http_client.h"
#include "bergamot/net/http_server.h"
#include "bergamot/net/whole_answer.h"

namespace review
{

using bergamot::Address;
using bergamot::BootClock;
using bergamot::Duration;
using bergamot::TimePoint;
namespace net = bergamot::net;

inline constexpr std::string_view Host = "deployment.example";

struct Settings
{
    std::string name; // of the case
    bool trouble = true;
    std::string recordFile;
    std::string pidFile; // one line "NODE PID" for each node
    Address store;
    std::map<std::string, Address> nodes; // caller-facing address by node
    std::map<std::string, Address> ready; // readiness address by node
};

/// Writes one line with the time since the start for each observation.
class Record
{
public:
    explicit Record(const std::string &file);
    ~Record();
    Record(const Record &) = delete;
    Record &operator=(const Record &) = delete;

    void write(const std::string &line);
    /// Milliseconds since the start.
    std::int64_t now() const;

private:
    std::FILE *m_file;
    TimePoint m_startedAt = BootClock::now();
};

/// The platform's store. Its answer to single appends can be lost: the records are appended, and the connection returns
/// nothing further.
class Store
{
public:
    using LosesAnswer = std::function<bool(const net::Request &)>;

    Store(boost::asio::io_context &loop, Record &record);
    bool listen(const Address &address);
    void put(const std::string &topic, const std::string &key, const std::string &value);
    /// The next append for which `losesAnswer` returns true gets no answer.
    void loseNextAnswer(LosesAnswer losesAnswer);

private:
    struct Reader
    {
        std::shared_ptr<net::Exchange> exchange;
        std::shared_ptr<boost::asio::steady_timer> timer;
        std::string topic;
        std::uint32_t partition = 0;
        std::uint64_t from = 0;
        std::size_t maxBytes = 0;
    };

    void handle(std::shared_ptr<net::Exchange> exchange);
    void append(const std::shared_ptr<net::Exchange> &exchange);
    void read(const std::shared_ptr<net::Exchange> &exchange);
    void readNewest(const std::shared_ptr<net::Exchange> &exchange);
    bool answerRead(const Reader &reader, bool evenIfEmpty);
    void wakeReaders();

    boost::asio::io_context &m_loop;
    Record &m_record;
    bergamot::logstore::MemoryLog m_log;
    net::HttpServer m_server;
    std::list<Reader> m_readers;
    LosesAnswer m_losesAnswer;
    std::vector<std::shared_ptr<net::Exchange>> m_unanswered;
};

struct EngineOptions
{
    std::string id;
    std::string service;
    std::map<std::string, std::uint64_t> models; // version by name; empty: a plain service
    std::uint32_t slots = 4;
    std::uint64_t events = 6; // of each text
    Duration eventInterval = std::chrono::milliseconds(50);
    Duration loadTime = std::chrono::milliseconds(900);
};

struct SeenOrder
{
    std::int64_t at = 0; // milliseconds since the start
    std::string engine;
    std::string holder;
    std::uint64_t fencingToken = 0;
    std::uint64_t version = 0;
};

struct SeenRun
{
    std::int64_t at = 0; // milliseconds since the start
    std::string engine;
    std::string service;
    std::string id;
    std::string path;
};

/// What the engines have seen.
struct Seen
{
    std::vector<SeenOrder> orders;
    std::vector<SeenRun> runs;
};

/// A model engine, or an engine of a plain service.
class Engine
{
public:
    Engine(boost::asio::io_context &loop, Store &store, Record &record, Seen &seen, EngineOptions options);
    bool listen();
    /// The trainer has named this version.
    void nameVersion(const std::string &model, std::uint64_t version);

private:
    struct Run;

    void handle(const std::shared_ptr<net::Exchange> &exchange);
    void order(const std::shared_ptr<net::Exchange> &exchange);
    void report(const std::shared_ptr<net::Exchange> &exchange);
    void run(const std::shared_ptr<net::Exchange> &exchange);
    void sendEvent(const std::shared_ptr<Run> &run);
    void endRun(const std::shared_ptr<Run> &run);
    void startLoad();
    void beat();
    std::string modelsJson() const;

    boost::asio::io_context &m_loop;
    Store &m_store;
    Record &m_record;
    Seen &m_seen;
    EngineOptions m_options;
    net::HttpServer m_server;
    boost::asio::steady_timer m_beatTimer;
    boost::asio::steady_timer m_loadTimer;
    std::set<std::shared_ptr<Run>> m_runs;
    std::map<std::string, std::uint64_t> m_named;
    std::uint64_t m_born;
    std::uint64_t m_beats = 0;
    std::uint64_t m_orders = 0; // accepted
    std::string m_loading; // model; empty: no order is in progress
    std::uint64_t m_loadingVersion = 0;
    bool m_awaitsRuns = false;
};

struct Answer
{
    int status = 0; // 0: none
    std::string body;
};

class Fleet
{
public:
    Fleet(boost::asio::io_context &loop, const Settings &settings);

    boost::asio::io_context &loop()
    {
        return m_loop;
    }
    bool listening() const
    {
        return m_listening;
    }
    void addEngine(EngineOptions options);
    void configure(const std::string &manifest);
    void nameVersion(const std::string &model, std::uint64_t version);
    /// Returns whether all nodes are ready within 20 s.
    bool nodesReady();
    void sleep(Duration duration);
    /// Returns whether `condition` holds within `timeout`.
    bool until(std::function<bool()> condition, Duration timeout);
    /// Sends one call of a consumer to a node, on a new connection.
    Answer call(std::string node, std::string method, std::string target, std::string id, std::string body);
    /// Sends a signal to the process of a node.
    bool signal(const std::string &node, int number);

    Record record;
    Store store;
    Seen seen;
    const Settings settings;

private:
    Answer send(net::ClientRequest request);

    boost::asio::io_context &m_loop;
    net::HttpClient m_client;
    std::vector<std::unique_ptr<Engine>> m_engines;
    bool m_listening = true;
};

/// The name of the machine in the name of a holder, which ends with a number of its process.
std::string machineOf(const std::string &holder);

} // namespace review
