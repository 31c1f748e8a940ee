#pragma once

// Serves the trainers' batch calls on every instance: submit, read results, read the body of an item, end. All
// responses are derived from the batch log; the only state kept here is that of calls in progress.
//
//     BatchService service(loop, log, codec, eventLog, {}, seed);
//     service.submit(std::move(exchange));

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
    // Limit for resolving a submission whose outcome is unknown; shorter than the timeout of the trainer.
    Duration resolveTimeout = std::chrono::milliseconds(2500);
    Duration appendTimeout = std::chrono::milliseconds(900);
    Duration retryPause = std::chrono::milliseconds(100);
    Duration maxWait = std::chrono::milliseconds(1000); // upper bound of how long a read waits for a result
    std::size_t maxResultBytes = 512 * 1024; // a response is complete once its texts reach this size
    // Memory of the reads of payloads that are under way; others wait. One that needs more is read alone.
    std::size_t maxReadBytes = std::size_t{48} * 1024 * 1024;
};

/// Who submits a batch, and what its items may need.
struct Submission
{
    std::string tenant; // empty: the batch belongs to none
    bool scoped = false; // the deployment has tenants, so batches have the names of `tenants::scopedId` in the log
    /// Tokens that the largest engine for the item holds; nothing: not known. Required.
    std::function<std::optional<std::uint64_t>(const batch::Item &item)> maxTokens;
};

/// Responds to each exchange unless its caller has disconnected. Not thread-safe.
class BatchService
{
public:
    BatchService(boost::asio::io_context &loop,
                 BatchLog &log,
                 const PlatformCodec &codec,
                 EventLog &eventLog,
                 BatchServiceOptions options,
                 std::uint64_t seed);

    /// Stores a batch; responds once its acceptance is in the log.
    void submit(const Submission &submission, std::shared_ptr<net::Exchange> exchange);
    /// Responds with the results from `call.after` on; waits for the first one up to `call.wait`.
    void readResults(const ReadResultsCall &call, std::shared_ptr<net::Exchange> exchange);
    /// Responds with the body of an item that has no result yet.
    void readItem(const ReadItemCall &call, std::shared_ptr<net::Exchange> exchange);
    /// Ends a batch; responds once the record is in the log.
    void end(const EndBatchCall &call, std::shared_ptr<net::Exchange> exchange);

    /// Responds to the waiting readers whose results are in the index. Call it when the index has changed.
    void answerReadyReaders();
    /// Responds to the waiting readers whose wait has expired, and refuses reads that found no room. Call it about ten
    /// times a second.
    void tick(TimePoint now);
    std::size_t waitingReaders() const;

private:
    /// A submission or end of a batch; its appends are repeated until their outcome is known.
    struct PendingAppend
    {
        std::string batch;
        batch::Batch content; // empty for an end
        std::uint32_t partition = 0;
        std::vector<std::vector<std::string>> payloadCalls; // payloads that are not written, grouped by store call
        std::vector<std::uint64_t> payloadOffsets; // offsets of the written payloads
        std::shared_ptr<net::Exchange> exchange;
        TimePoint deadline{};
        bool outcomeUnknown = false; // the accepting or ending record may be in the log
        bool callerDisconnected = false;
        bool isEnd = false;
    };

    struct Reader
    {
        ReadResultsCall call;
        std::shared_ptr<net::Exchange> exchange;
        TimePoint deadline{};
    };

    /// A read of payloads, which takes memory until it has ended.
    struct PayloadRead
    {
        std::shared_ptr<net::Exchange> exchange;
        std::size_t bytes = 0; // that it may take
        std::function<void()> start;
        TimePoint deadline{}; // until then it waits for room
    };

    void appendNext(std::shared_ptr<PendingAppend> pending);
    void handlePayloadAppend(std::shared_ptr<PendingAppend> pending, const logstore::AppendOutcome &outcome);
    void handleAppend(std::shared_ptr<PendingAppend> pending, const logstore::AppendOutcome &outcome);
    void retryOrRespond(std::shared_ptr<PendingAppend> pending, const logstore::AppendOutcome &outcome);
    void respondOutcome(const PendingAppend &pending, int status, std::string_view reason);
    bool isInLog(const PendingAppend &pending) const;
    /// Responds with results, or waits for them, or makes sure that there are none.
    void continueRead(Reader reader);
    void waitForResults(Reader reader);
    void confirmNoResults(const Reader &reader);
    /// Runs `known` if the batch was accepted before this call; otherwise responds.
    void confirmBatch(const std::string &batch,
                      std::string_view call,
                      const std::shared_ptr<net::Exchange> &exchange,
                      std::function<void()> known);
    void endKnownBatch(const EndBatchCall &call, std::shared_ptr<net::Exchange> exchange);
    void readKnownItem(const ReadItemCall &call, const std::shared_ptr<net::Exchange> &exchange);
    /// Responds with the body of the item, from the payloads of its batch. `bytes` is the memory of this read.
    void findKnownItem(const ReadItemCall &call, const std::shared_ptr<net::Exchange> &exchange, std::size_t bytes);
    /// Collects the texts for a read that has results, at once or after other reads.
    void startCollection(const ReadResultsCall &call, const std::shared_ptr<net::Exchange> &exchange);
    /// Runs `read` as soon as there is room for it; `payloadReadEnded` has to follow.
    void startPayloadRead(PayloadRead read);
    void startWaitingReads();
    std::size_t collectionBytes() const;
    void payloadReadEnded(std::size_t bytes);
    void collectResults(ReadResultsCall call,
                        std::shared_ptr<net::Exchange> exchange,
                        std::vector<batch::ItemResult> collected);
    void respondResults(net::Exchange &exchange,
                        const ReadResultsCall &call,
                        const batch::BatchEntry &entry,
                        const std::vector<batch::ItemResult> &results);
    void respond(net::Exchange &exchange, int status, std::string body = {}, std::string_view type = {});
    void respondNotFound(net::Exchange &exchange, const std::string &batch, std::string_view call);
    /// Responds that this instance does not know whether the batch exists or has more results.
    void respondUnconfirmed(net::Exchange &exchange, const std::string &batch, std::string_view call);
    void writeView(std::string_view event, const std::string &batch, std::string_view call);

    boost::asio::io_context &m_loop;
    BatchLog &m_log;
    const PlatformCodec &m_codec;
    EventLog &m_eventLog;
    BatchServiceOptions m_options;
    std::mt19937_64 m_random;
    std::list<Reader> m_readers;
    std::list<PayloadRead> m_waitingReads; // in the order of their calls
    std::size_t m_readBytes = 0; // of the reads of payloads that are under way
    std::list<std::shared_ptr<PendingAppend>> m_pendingAppends;
};

} // namespace bergamot::node
