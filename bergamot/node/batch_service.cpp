#include "bergamot/node/batch_service.h"

#include <cstdio>
#include <numeric>

#include "bergamot/net/status.h"

namespace bergamot::node
{

using namespace net::status;

namespace
{

constexpr std::string_view Json = "application/json";
constexpr std::size_t PayloadCopies = 3; // of payloads that are read: records, their texts, and the response

std::string seconds(Duration duration)
{
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.2f", std::chrono::duration<double>(duration).count());
    return text.data();
}

struct FoundItem
{
    std::uint32_t index = 0; // in the batch
    std::string body;
};

/// Finds an item in the payloads of its batch, which are in order. Fails if one of them is unreadable.
Result<std::optional<FoundItem>> findItem(const std::vector<LogRecord> &payloads, const std::string &id)
{
    std::uint32_t index = 0;
    for (const LogRecord &payload : payloads) {
        const batch::log::Record *record = batch::parseRecord(payload.bytes);
        const batch::log::BatchPart *part = record == nullptr ? nullptr : record->payload_as_BatchPart();
        if (part == nullptr || part->items() == nullptr) {
            return failure(ErrorCode::Internal,
                           "the payload at offset " + std::to_string(payload.offset) + " is unreadable");
        }
        for (const batch::log::Item *item : *part->items()) {
            if (batch::stringOrEmpty(item->id()) == id) {
                return FoundItem{.index = index, .body = batch::stringOrEmpty(item->body())};
            }
            ++index;
        }
    }
    return std::nullopt;
}

bool mayGrow(const batch::BatchEntry &entry)
{
    return entry.results.size() < entry.totalItems && !entry.ended;
}

} // namespace

BatchService::BatchService(boost::asio::io_context &loop,
                           BatchLog &log,
                           const PlatformCodec &codec,
                           EventLog &eventLog,
                           BatchServiceOptions options,
                           std::uint64_t seed)
    : m_loop(loop)
    , m_log(log)
    , m_codec(codec)
    , m_eventLog(eventLog)
    , m_options(options)
    , m_random(seed)
{ }

void BatchService::submit(const Submission &submission, std::shared_ptr<net::Exchange> exchange)
{
    const std::size_t parsedBytes = m_codec.submissionBytes(exchange->request());
    if (!exchange->mayHold(parsedBytes)) {
        m_eventLog.write(EventKind::Request,
                         "batch-no-room",
                         {{"body_bytes", std::to_string(exchange->request().body.size())},
                          {"parsed_bytes", std::to_string(parsedBytes)}});
        respond(*exchange, Unavailable, "no room in memory for the batch");
        return;
    }
    Result<batch::Batch> batch = m_codec.submission(exchange->request());
    if (!batch) {
        m_eventLog.write(EventKind::Request, "batch-malformed", {{"reason", batch.error().message}});
        respond(*exchange, BadRequest, batch.error().message);
        return;
    }
    if (submission.scoped) {
        batch->tenant = submission.tenant;
        batch->id = tenants::scopedId(submission.tenant, batch->id);
    }
    if (m_log.index().find(batch->id) != nullptr) {
        m_eventLog.write(EventKind::Request, "batch-accepted-before", {{"batch", batch->id}});
        respond(*exchange, Accepted);
        return;
    }
    const auto tooLarge = std::find_if(batch->items.begin(), batch->items.end(), [&](const batch::Item &item) {
        return item.maxTotalTokens > submission.maxTokens(item).value_or(item.maxTotalTokens);
    });
    if (tooLarge != batch->items.end()) {
        const std::string reason = "item " + tooLarge->id + " needs " + std::to_string(tooLarge->maxTotalTokens)
            + " tokens; the largest engine of its route holds " + std::to_string(*submission.maxTokens(*tooLarge));
        m_eventLog.write(EventKind::Request, "batch-too-large", {{"batch", batch->id}, {"reason", reason}});
        respond(*exchange, PayloadTooLarge, reason);
        return;
    }
    Result<std::vector<std::string>> records =
        batch::batchPartRecords(*batch, {.maxRecordBytes = m_log.options().maxRecordBytes});
    if (!records) {
        m_eventLog.write(
            EventKind::Request, "batch-too-large", {{"batch", batch->id}, {"reason", records.error().message}});
        respond(*exchange, PayloadTooLarge, records.error().message);
        return;
    }
    for (batch::Item &item : batch->items) {
        item = {}; // its content is in the records
    }
    exchange->takeBody();
    exchange->hold(std::accumulate(
        records->begin(), records->end(), std::size_t{0}, [](std::size_t sum, const std::string &record) {
            return sum + record.size();
        }));
    auto pending = std::make_shared<PendingAppend>();
    pending->batch = batch->id;
    pending->exchange = std::move(exchange);
    pending->deadline = BootClock::now() + m_options.resolveTimeout;
    pending->partition = m_log.payloadPartition(batch->id);
    pending->content = std::move(*batch);
    std::size_t bytes = 0;
    constexpr std::size_t LengthField = 4; // bytes of the length prefix of each record in a call
    for (std::string &record : *records) {
        if (pending->payloadCalls.empty() || bytes + record.size() + LengthField > m_log.options().maxCallBytes) {
            pending->payloadCalls.emplace_back();
            bytes = 0;
        }
        bytes += record.size() + LengthField;
        pending->payloadCalls.back().push_back(std::move(record));
    }
    pending->exchange->onCallerDisconnected([weak = std::weak_ptr(pending)] {
        if (const std::shared_ptr<PendingAppend> locked = weak.lock()) {
            locked->callerDisconnected = true;
        }
    });
    m_pendingAppends.push_back(pending);
    appendNext(std::move(pending));
}

void BatchService::end(const EndBatchCall &call, std::shared_ptr<net::Exchange> exchange)
{
    if (m_log.index().find(call.batch) == nullptr) {
        confirmBatch(call.batch, "end", exchange, [this, call, exchange] {
            endKnownBatch(call, exchange);
        });
        return;
    }
    endKnownBatch(call, std::move(exchange));
}

void BatchService::endKnownBatch(const EndBatchCall &call, std::shared_ptr<net::Exchange> exchange)
{
    if (m_log.index().find(call.batch)->ended) {
        respond(*exchange, Ok);
        return;
    }
    auto pending = std::make_shared<PendingAppend>();
    pending->batch = call.batch;
    pending->isEnd = true;
    pending->exchange = std::move(exchange);
    pending->deadline = BootClock::now() + m_options.resolveTimeout;
    m_pendingAppends.push_back(pending);
    appendNext(std::move(pending));
}

void BatchService::appendNext(std::shared_ptr<PendingAppend> pending)
{
    if (!pending->payloadCalls.empty()) {
        std::vector<std::string> records = pending->payloadCalls.front();
        m_log.appendPayloads(pending->partition,
                             std::move(records),
                             m_options.appendTimeout,
                             [this, pending](const logstore::AppendOutcome &outcome) {
                                 handlePayloadAppend(pending, outcome);
                             });
        return;
    }
    std::string record = pending->isEnd
        ? batch::batchEndRecord(pending->batch)
        : batch::batchAcceptedRecord(pending->content, pending->partition, pending->payloadOffsets);
    m_log.append({std::move(record)}, m_options.appendTimeout, [this, pending](const logstore::AppendOutcome &outcome) {
        handleAppend(pending, outcome);
    });
}

void BatchService::handlePayloadAppend(std::shared_ptr<PendingAppend> pending, const logstore::AppendOutcome &outcome)
{
    if (outcome.status != logstore::AppendStatus::Appended) {
        retryOrRespond(std::move(pending), outcome);
        return;
    }
    for (std::size_t record = 0; record < pending->payloadCalls.front().size(); ++record) {
        pending->payloadOffsets.push_back(outcome.offset + record);
    }
    pending->payloadCalls.erase(pending->payloadCalls.begin());
    appendNext(std::move(pending));
}

void BatchService::handleAppend(std::shared_ptr<PendingAppend> pending, const logstore::AppendOutcome &outcome)
{
    if (outcome.status == logstore::AppendStatus::Appended) {
        respondOutcome(*pending, pending->isEnd ? Ok : Accepted, "appended");
        m_pendingAppends.remove(pending);
        return;
    }
    pending->outcomeUnknown = pending->outcomeUnknown || outcome.status == logstore::AppendStatus::Unknown;
    retryOrRespond(std::move(pending), outcome);
}

void BatchService::retryOrRespond(std::shared_ptr<PendingAppend> pending, const logstore::AppendOutcome &outcome)
{
    if (isInLog(*pending)) {
        respondOutcome(*pending, pending->isEnd ? Ok : Accepted, "found in the log");
        m_pendingAppends.remove(pending);
        return;
    }
    const bool tooLarge = outcome.status == logstore::AppendStatus::TooLarge;
    const bool outOfTime = BootClock::now() + m_options.retryPause >= pending->deadline;
    // Unavailable guarantees that no item of the batch runs. A batch that may be in the log gets no such guarantee.
    const int status = pending->outcomeUnknown ? GatewayTimeout : Unavailable;
    if (tooLarge || outOfTime || (pending->callerDisconnected && !pending->outcomeUnknown)) {
        respondOutcome(*pending, tooLarge ? PayloadTooLarge : status, outcome.detail);
        m_pendingAppends.remove(pending);
        return;
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(m_loop, m_options.retryPause);
    timer->async_wait([this, pending, timer](const boost::system::error_code &) {
        if (isInLog(*pending)) {
            respondOutcome(*pending, pending->isEnd ? Ok : Accepted, "found in the log");
            m_pendingAppends.remove(pending);
            return;
        }
        appendNext(pending);
    });
}

bool BatchService::isInLog(const PendingAppend &pending) const
{
    const batch::BatchEntry *entry = m_log.index().find(pending.batch);
    return entry != nullptr && (!pending.isEnd || entry->ended);
}

void BatchService::respondOutcome(const PendingAppend &pending, int status, std::string_view reason)
{
    m_eventLog.write(EventKind::Request,
                     pending.isEnd ? "batch-end" : "batch-submit",
                     {{"batch", pending.batch}, {"status", std::to_string(status)}, {"reason", std::string(reason)}});
    respond(*pending.exchange, status);
}

void BatchService::readResults(const ReadResultsCall &call, std::shared_ptr<net::Exchange> exchange)
{
    const Duration wait = std::min(call.wait, m_options.maxWait);
    continueRead({.call = call, .exchange = std::move(exchange), .deadline = BootClock::now() + wait});
}

void BatchService::continueRead(Reader reader)
{
    const batch::BatchEntry *entry = m_log.index().find(reader.call.batch);
    if (entry != nullptr && entry->results.size() > reader.call.after) {
        startCollection(reader.call, reader.exchange);
    } else if (entry != nullptr && mayGrow(*entry) && BootClock::now() < reader.deadline) {
        waitForResults(std::move(reader));
    } else {
        confirmNoResults(reader);
    }
}

void BatchService::waitForResults(Reader reader)
{
    m_readers.push_back(std::move(reader));
    net::Exchange *exchange = m_readers.back().exchange.get();
    exchange->onCallerDisconnected([this, exchange] {
        m_readers.remove_if([exchange](const Reader &other) {
            return other.exchange.get() == exchange;
        });
    });
}

void BatchService::confirmNoResults(const Reader &reader)
{
    if (!m_log.mayConfirm()) {
        respondUnconfirmed(*reader.exchange, reader.call.batch, "read");
        return;
    }
    m_log.confirmIndex([this, reader](bool confirmed) {
        const batch::BatchEntry *entry = m_log.index().find(reader.call.batch);
        if (entry != nullptr && entry->results.size() > reader.call.after) {
            startCollection(reader.call, reader.exchange);
        } else if (!confirmed) {
            respondUnconfirmed(*reader.exchange, reader.call.batch, "read");
        } else if (entry == nullptr) {
            respondNotFound(*reader.exchange, reader.call.batch, "read");
        } else if (mayGrow(*entry) && BootClock::now() < reader.deadline) {
            waitForResults(reader);
        } else {
            respondResults(*reader.exchange, reader.call, *entry, {});
        }
    });
}

void BatchService::confirmBatch(const std::string &batch,
                                std::string_view call,
                                const std::shared_ptr<net::Exchange> &exchange,
                                std::function<void()> known)
{
    if (!m_log.mayConfirm()) {
        respondUnconfirmed(*exchange, batch, call);
        return;
    }
    m_log.confirmIndex([this, batch, call, exchange, known = std::move(known)](bool confirmed) {
        if (m_log.index().find(batch) != nullptr) {
            known();
        } else if (confirmed) {
            respondNotFound(*exchange, batch, call);
        } else {
            respondUnconfirmed(*exchange, batch, call);
        }
    });
}

void BatchService::answerReadyReaders()
{
    for (auto reader = m_readers.begin(); reader != m_readers.end();) {
        const batch::BatchEntry *entry = m_log.index().find(reader->call.batch);
        if (entry != nullptr && entry->results.size() <= reader->call.after && !entry->ended) {
            ++reader;
            continue;
        }
        Reader ready = std::move(*reader);
        reader = m_readers.erase(reader);
        continueRead(std::move(ready));
    }
}

void BatchService::tick(TimePoint now)
{
    while (!m_waitingReads.empty() && m_waitingReads.front().deadline <= now) {
        const PayloadRead read = std::move(m_waitingReads.front());
        m_waitingReads.pop_front();
        m_eventLog.write(EventKind::Request,
                         "read-no-room",
                         {{"bytes", std::to_string(read.bytes)}, {"under_way", std::to_string(m_readBytes)}});
        respond(*read.exchange, Unavailable);
    }
    for (auto reader = m_readers.begin(); reader != m_readers.end();) {
        if (reader->deadline > now) {
            ++reader;
            continue;
        }
        Reader ready = std::move(*reader);
        reader = m_readers.erase(reader);
        continueRead(std::move(ready));
    }
}

std::size_t BatchService::waitingReaders() const
{
    return m_readers.size();
}

std::size_t BatchService::collectionBytes() const
{
    return PayloadCopies * m_options.maxResultBytes;
}

void BatchService::startCollection(const ReadResultsCall &call, const std::shared_ptr<net::Exchange> &exchange)
{
    startPayloadRead({.exchange = exchange, .bytes = collectionBytes(), .start = [this, call, exchange] {
                          collectResults(call, exchange, {});
                      }});
}

void BatchService::startPayloadRead(PayloadRead read)
{
    read.exchange->onCallerDisconnected([this, waiting = read.exchange.get()] {
        m_waitingReads.remove_if([waiting](const PayloadRead &other) {
            return other.exchange.get() == waiting;
        });
    });
    read.deadline = BootClock::now() + m_options.maxWait;
    m_waitingReads.push_back(std::move(read));
    startWaitingReads();
}

void BatchService::startWaitingReads()
{
    while (!m_waitingReads.empty()
           && (m_readBytes == 0 || m_readBytes + m_waitingReads.front().bytes <= m_options.maxReadBytes)) {
        const PayloadRead read = std::move(m_waitingReads.front());
        m_waitingReads.pop_front();
        m_readBytes += read.bytes;
        read.exchange->hold(std::min(read.bytes, m_options.maxReadBytes));
        read.start();
    }
}

void BatchService::payloadReadEnded(std::size_t bytes)
{
    m_readBytes -= bytes;
    boost::asio::post(m_loop, [this] {
        startWaitingReads();
    });
}

void BatchService::collectResults(ReadResultsCall call,
                                  std::shared_ptr<net::Exchange> exchange,
                                  std::vector<batch::ItemResult> collected)
{
    const batch::BatchEntry *entry = m_log.index().find(call.batch);
    if (entry == nullptr) {
        respondUnconfirmed(*exchange, call.batch, "read");
        payloadReadEnded(collectionBytes());
        return;
    }
    std::size_t bytes = 0;
    for (const batch::ItemResult &result : collected) {
        bytes += result.text.size();
    }
    const std::size_t position = call.after + collected.size();
    if (bytes >= m_options.maxResultBytes || position >= entry->results.size()) {
        respondResults(*exchange, call, *entry, collected);
        payloadReadEnded(collectionBytes());
        return;
    }
    // One read of the store returns consecutive records; offsets beyond it are read in the next round.
    constexpr std::size_t MaxRecordsPerRead = 32;
    std::vector<std::uint64_t> offsets;
    for (std::size_t index = position; index < entry->results.size() && offsets.size() < MaxRecordsPerRead; ++index) {
        offsets.push_back(entry->results[index].payload);
    }
    m_log.readPayloads(entry->partition,
                       std::move(offsets),
                       [this, call, exchange, collected = std::move(collected)](
                           bool complete, std::vector<LogRecord> records) mutable {
                           if (!complete && records.empty() && collected.empty()) {
                               m_eventLog.write(EventKind::Request,
                                                "results-unreadable",
                                                {{"batch", call.batch}, {"after", std::to_string(call.after)}});
                               respond(*exchange, Unavailable);
                               payloadReadEnded(collectionBytes());
                               return;
                           }
                           for (const LogRecord &payloadRecord : records) {
                               const batch::log::Record *record = batch::parseRecord(payloadRecord.bytes);
                               if (record == nullptr || record->payload_as_ItemResult() == nullptr) {
                                   m_eventLog.write(EventKind::State,
                                                    "batch-record-unreadable",
                                                    {{"offset", std::to_string(payloadRecord.offset)}});
                                   complete = false;
                                   break;
                               }
                               collected.push_back(batch::toResult(*record->payload_as_ItemResult()));
                           }
                           if (complete) {
                               collectResults(std::move(call), std::move(exchange), std::move(collected));
                               return;
                           }
                           const batch::BatchEntry *currentEntry = m_log.index().find(call.batch);
                           if (currentEntry == nullptr || collected.empty()) {
                               respond(*exchange, Unavailable);
                           } else {
                               respondResults(*exchange, call, *currentEntry, collected);
                           }
                           payloadReadEnded(collectionBytes());
                       });
}

void BatchService::respondResults(net::Exchange &exchange,
                                  const ReadResultsCall &call,
                                  const batch::BatchEntry &entry,
                                  const std::vector<batch::ItemResult> &results)
{
    const std::uint64_t next = call.after + results.size();
    const auto elapsed =
        std::chrono::duration_cast<std::chrono::milliseconds>(BootClock::now() - exchange.receivedAt());
    m_eventLog.write(EventKind::Request,
                     "results-read",
                     {{"batch", call.batch},
                      {"after", std::to_string(call.after)},
                      {"next", std::to_string(next)},
                      {"known", std::to_string(entry.results.size())},
                      {"total", std::to_string(entry.totalItems)},
                      {"took_ms", std::to_string(elapsed.count())}});
    respond(exchange, Ok, m_codec.results(entry.totalItems, next, results), Json);
}

void BatchService::readItem(const ReadItemCall &call, std::shared_ptr<net::Exchange> exchange)
{
    if (m_log.index().find(call.batch) == nullptr) {
        confirmBatch(call.batch, "item", exchange, [this, call, exchange] {
            readKnownItem(call, exchange);
        });
        return;
    }
    readKnownItem(call, exchange);
}

void BatchService::readKnownItem(const ReadItemCall &call, const std::shared_ptr<net::Exchange> &exchange)
{
    const batch::BatchEntry *entry = m_log.index().find(call.batch);
    if (entry->ended) {
        respond(*exchange, NotFound);
        return;
    }
    const std::size_t bytes = PayloadCopies * entry->parts.size() * m_log.options().maxRecordBytes;
    startPayloadRead({.exchange = exchange, .bytes = bytes, .start = [this, call, exchange, bytes] {
                          findKnownItem(call, exchange, bytes);
                      }});
}

void BatchService::findKnownItem(const ReadItemCall &call,
                                 const std::shared_ptr<net::Exchange> &exchange,
                                 std::size_t bytes)
{
    const batch::BatchEntry *entry = m_log.index().find(call.batch);
    if (entry == nullptr) {
        respondUnconfirmed(*exchange, call.batch, "item");
        payloadReadEnded(bytes);
        return;
    }
    m_log.readPayloads(entry->partition,
                       entry->parts,
                       [this, call, exchange, bytes](bool complete, const std::vector<LogRecord> &records) {
                           const batch::BatchEntry *currentEntry = m_log.index().find(call.batch);
                           const Result<std::optional<FoundItem>> found = findItem(records, call.item);
                           const bool unreadable = !found || (!*found && !complete);
                           const std::size_t items = currentEntry == nullptr ? 0 : currentEntry->committed.size();
                           if (unreadable || (*found && (*found)->index >= items)) {
                               m_eventLog.write(
                                   EventKind::Request,
                                   "item-unreadable",
                                   {{"batch", call.batch},
                                    {"item", call.item},
                                    {"reason", found ? "not all payloads are known" : found.error().message}});
                               respond(*exchange, Unavailable);
                           } else if (!*found || currentEntry->committed[(*found)->index]) {
                               respond(*exchange, NotFound);
                           } else {
                               respond(*exchange, Ok, (*found)->body, "application/octet-stream");
                           }
                           payloadReadEnded(bytes);
                       });
}

void BatchService::respondNotFound(net::Exchange &exchange, const std::string &batch, std::string_view call)
{
    writeView("batch-not-found", batch, call);
    respond(exchange, NotFound);
}

void BatchService::respondUnconfirmed(net::Exchange &exchange, const std::string &batch, std::string_view call)
{
    writeView("batch-view-stale", batch, call);
    respond(exchange, Unavailable);
}

void BatchService::writeView(std::string_view event, const std::string &batch, std::string_view call)
{
    const auto responseAge =
        std::chrono::duration_cast<std::chrono::milliseconds>(m_log.timeSinceResponse(BootClock::now()));
    m_eventLog.write(EventKind::Request,
                     event,
                     {{"batch", batch},
                      {"call", std::string(call)},
                      {"offset", std::to_string(m_log.nextOffset())},
                      {"response_age_ms", std::to_string(responseAge.count())},
                      {"may_confirm", m_log.mayConfirm() ? "yes" : "no"}});
}

void BatchService::respond(net::Exchange &exchange, int status, std::string body, std::string_view type)
{
    net::Response response{.status = status, .body = std::move(body)};
    if (!type.empty()) {
        response.headers.add("Content-Type", type);
    }
    if (status == Unavailable) {
        response.headers.add("Retry-After", seconds(m_log.retryAfter(BootClock::now())));
    }
    exchange.respond(std::move(response));
}

} // namespace bergamot::node
