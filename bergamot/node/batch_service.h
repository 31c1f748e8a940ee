#pragma once

// Trainers' calls about batches, at any instance: submit, read results, read an item's body, end. Everything is
// answered from the batch log; nothing is kept here but the calls that wait.
//
//     BatchService service(loop, log, codec, eventLog, seed);
//     service.submit(route, std::move(exchange));

#include <list>
#include <memory>
#include <random>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "bergamot/net/http_server.h"
#include "bergamot/node/batch_log.h"
#include "bergamot/node/platform_codec.h"

namespace bergamot::node
{

struct BatchServiceOptions
{
    // A submission whose outcome is unknown is settled within this time; the trainer waits longer.
    Duration settleFor = std::chrono::milliseconds(2500);
    Duration appendTimeout = std::chrono::milliseconds(900);
    Duration retryPause = std::chrono::milliseconds(100);
    Duration longestWait = std::chrono::milliseconds(1000); // for a result to come
    std::size_t resultBytes = 512 * 1024; // of the texts of one answer
    Duration retryAfter = std::chrono::milliseconds(300); // another instance can answer at once
};

/// Not thread-safe.
class BatchService
{
public:
    BatchService(boost::asio::io_context &loop,
                 BatchLog &log,
                 const PlatformCodec &codec,
                 EventLog &eventLog,
                 BatchServiceOptions options,
                 std::uint64_t seed);

    void submit(std::shared_ptr<net::Exchange> exchange);
    void readResults(const ReadResultsCall &call, std::shared_ptr<net::Exchange> exchange);
    void readItem(const ReadItemCall &call, std::shared_ptr<net::Exchange> exchange);
    void end(const EndBatchCall &call, std::shared_ptr<net::Exchange> exchange);

    /// The index may have changed: answers readers whose results have come.
    void progress();
    /// Answers readers whose time is up. Call it some ten times a second.
    void tick(TimePoint now);
    std::size_t waitingReaders() const;

private:
    /// An append that is repeated until its outcome is known.
    struct Settling
    {
        std::string batch;
        batch::Batch content; // without its items
        std::uint32_t partition = 0;
        std::vector<std::vector<std::string>> calls; // payloads, by call
        std::vector<std::uint64_t> parts; // offsets of the payloads that are written
        std::shared_ptr<net::Exchange> exchange;
        TimePoint until{};
        bool unknown = false; // the record that counts may be in the log
        bool gone = false; // the caller has left
        bool isEnd = false;
    };

    struct Reader
    {
        ReadResultsCall call;
        std::shared_ptr<net::Exchange> exchange;
        TimePoint until{};
    };

    void appendNext(std::shared_ptr<Settling> settling);
    void payloadsAppended(std::shared_ptr<Settling> settling, const logstore::AppendOutcome &outcome);
    void appended(std::shared_ptr<Settling> settling, const logstore::AppendOutcome &outcome);
    void tryAgain(std::shared_ptr<Settling> settling, const logstore::AppendOutcome &outcome);
    void settled(const Settling &settling, int status, std::string_view reason);
    bool done(const Settling &settling) const;
    void answerResults(const ReadResultsCall &call, const std::shared_ptr<net::Exchange> &exchange);
    void
    collect(ReadResultsCall call, std::shared_ptr<net::Exchange> exchange, std::vector<batch::ItemResult> collected);
    void respondResults(net::Exchange &exchange,
                        const ReadResultsCall &call,
                        const batch::BatchEntry &entry,
                        const std::vector<batch::ItemResult> &results);
    void respond(net::Exchange &exchange, int status, std::string body = {}, std::string_view type = {});
    void notFoundOrUnsure(net::Exchange &exchange, const std::string &batch, std::string_view call);

    boost::asio::io_context &m_loop;
    BatchLog &m_log;
    const PlatformCodec &m_codec;
    EventLog &m_eventLog;
    BatchServiceOptions m_options;
    std::mt19937_64 m_random;
    std::list<Reader> m_readers;
    std::list<std::shared_ptr<Settling>> m_settling;
};

} // namespace bergamot::node
