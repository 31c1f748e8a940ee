#include "bergamot/node/batch_service.h"

#include <cstdio>

#include "bergamot/net/status.h"

namespace bergamot::node
{

using namespace net::status;

namespace
{

constexpr std::string_view Json = "application/json";

std::string seconds(Duration duration)
{
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.2f", std::chrono::duration<double>(duration).count());
    return text.data();
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

void BatchService::submit(std::shared_ptr<net::Exchange> exchange)
{
    Result<batch::Batch> batch = m_codec.submission(exchange->request());
    if (!batch) {
        m_eventLog.write(EventKind::Request, "batch-malformed", {{"reason", batch.error().message}});
        respond(*exchange, BadRequest, batch.error().message);
        return;
    }
    if (m_log.index().find(batch->id) != nullptr) {
        m_eventLog.write(EventKind::Request, "batch-accepted-before", {{"batch", batch->id}});
        respond(*exchange, Accepted);
        return;
    }
    Result<std::vector<std::string>> records = batch::partRecords(*batch, {.recordBytes = m_log.options().recordBytes});
    if (!records) {
        m_eventLog.write(
            EventKind::Request, "batch-too-large", {{"batch", batch->id}, {"reason", records.error().message}});
        respond(*exchange, PayloadTooLarge, records.error().message);
        return;
    }
    auto settling = std::make_shared<Settling>();
    settling->batch = batch->id;
    settling->exchange = std::move(exchange);
    settling->until = BootClock::now() + m_options.settleFor;
    settling->partition = m_log.payloadPartition(batch->id);
    settling->content = std::move(*batch);
    std::size_t bytes = 0;
    constexpr std::size_t LengthField = 4; // before each record
    for (std::string &record : *records) {
        if (settling->calls.empty() || bytes + record.size() + LengthField > m_log.options().callBytes) {
            settling->calls.emplace_back();
            bytes = 0;
        }
        bytes += record.size() + LengthField;
        settling->calls.back().push_back(std::move(record));
    }
    settling->exchange->onCallerGone([weak = std::weak_ptr(settling)] {
        if (const std::shared_ptr<Settling> left = weak.lock()) {
            left->gone = true;
        }
    });
    m_settling.push_back(settling);
    appendNext(std::move(settling));
}

void BatchService::end(const EndBatchCall &call, std::shared_ptr<net::Exchange> exchange)
{
    const batch::BatchEntry *entry = m_log.index().find(call.batch);
    if (entry == nullptr) {
        notFoundOrUnsure(*exchange, call.batch, "end");
        return;
    }
    if (entry->ended) {
        respond(*exchange, Ok);
        return;
    }
    auto settling = std::make_shared<Settling>();
    settling->batch = call.batch;
    settling->isEnd = true;
    settling->exchange = std::move(exchange);
    settling->until = BootClock::now() + m_options.settleFor;
    m_settling.push_back(settling);
    appendNext(std::move(settling));
}

void BatchService::appendNext(std::shared_ptr<Settling> settling)
{
    if (!settling->calls.empty()) {
        std::vector<std::string> records = settling->calls.front();
        m_log.appendPayloads(settling->partition,
                             std::move(records),
                             m_options.appendTimeout,
                             [this, settling](const logstore::AppendOutcome &outcome) {
                                 payloadsAppended(settling, outcome);
                             });
        return;
    }
    std::string record = settling->isEnd
        ? batch::endRecord(settling->batch)
        : batch::acceptedRecord(settling->content, settling->partition, settling->parts);
    m_log.append(
        {std::move(record)}, m_options.appendTimeout, [this, settling](const logstore::AppendOutcome &outcome) {
            appended(settling, outcome);
        });
}

void BatchService::payloadsAppended(std::shared_ptr<Settling> settling, const logstore::AppendOutcome &outcome)
{
    if (outcome.status != logstore::AppendStatus::Appended) {
        tryAgain(std::move(settling), outcome);
        return;
    }
    for (std::size_t record = 0; record < settling->calls.front().size(); ++record) {
        settling->parts.push_back(outcome.offset + record);
    }
    settling->calls.erase(settling->calls.begin());
    appendNext(std::move(settling));
}

void BatchService::appended(std::shared_ptr<Settling> settling, const logstore::AppendOutcome &outcome)
{
    if (outcome.status == logstore::AppendStatus::Appended) {
        settled(*settling, settling->isEnd ? Ok : Accepted, "appended");
        m_settling.remove(settling);
        return;
    }
    settling->unknown = settling->unknown || outcome.status == logstore::AppendStatus::Unknown;
    tryAgain(std::move(settling), outcome);
}

void BatchService::tryAgain(std::shared_ptr<Settling> settling, const logstore::AppendOutcome &outcome)
{
    if (done(*settling)) {
        settled(*settling, settling->isEnd ? Ok : Accepted, "found in the log");
        m_settling.remove(settling);
        return;
    }
    const bool hopeless = outcome.status == logstore::AppendStatus::TooLarge;
    const bool late = BootClock::now() + m_options.retryPause >= settling->until;
    // A refusal promises that nothing of the batch runs; what may be in the log gets no promise.
    const int status = settling->unknown ? GatewayTimeout : Unavailable;
    if (hopeless || late || (settling->gone && !settling->unknown)) {
        settled(*settling, hopeless ? PayloadTooLarge : status, outcome.detail);
        m_settling.remove(settling);
        return;
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(m_loop, m_options.retryPause);
    timer->async_wait([this, settling, timer](const boost::system::error_code &) {
        if (done(*settling)) {
            settled(*settling, settling->isEnd ? Ok : Accepted, "found in the log");
            m_settling.remove(settling);
            return;
        }
        appendNext(settling);
    });
}

bool BatchService::done(const Settling &settling) const
{
    const batch::BatchEntry *entry = m_log.index().find(settling.batch);
    return entry != nullptr && (!settling.isEnd || entry->ended);
}

void BatchService::settled(const Settling &settling, int status, std::string_view reason)
{
    m_eventLog.write(EventKind::Request,
                     settling.isEnd ? "batch-end" : "batch-submit",
                     {{"batch", settling.batch}, {"status", std::to_string(status)}, {"reason", std::string(reason)}});
    respond(*settling.exchange, status);
}

void BatchService::readResults(const ReadResultsCall &call, std::shared_ptr<net::Exchange> exchange)
{
    const batch::BatchEntry *entry = m_log.index().find(call.batch);
    const bool hasResults = entry != nullptr && entry->results.size() > call.after;
    const bool mayGrow = entry != nullptr && entry->results.size() < entry->totalItems && !entry->ended;
    const Duration wait = std::min(call.wait, m_options.longestWait);
    if (hasResults || !mayGrow || wait <= Duration::zero()) {
        answerResults(call, exchange);
        return;
    }
    m_readers.push_back({.call = call, .exchange = std::move(exchange), .until = BootClock::now() + wait});
    const auto reader = std::prev(m_readers.end());
    reader->exchange->onCallerGone([this, waiting = reader->exchange.get()] {
        m_readers.remove_if([waiting](const Reader &other) {
            return other.exchange.get() == waiting;
        });
    });
}

void BatchService::progress()
{
    for (auto reader = m_readers.begin(); reader != m_readers.end();) {
        const batch::BatchEntry *entry = m_log.index().find(reader->call.batch);
        if (entry != nullptr && entry->results.size() <= reader->call.after && !entry->ended) {
            ++reader;
            continue;
        }
        const Reader ready = *reader;
        reader = m_readers.erase(reader);
        answerResults(ready.call, ready.exchange);
    }
}

void BatchService::tick(TimePoint now)
{
    for (auto reader = m_readers.begin(); reader != m_readers.end();) {
        if (reader->until > now) {
            ++reader;
            continue;
        }
        const Reader ready = *reader;
        reader = m_readers.erase(reader);
        answerResults(ready.call, ready.exchange);
    }
}

std::size_t BatchService::waitingReaders() const
{
    return m_readers.size();
}

void BatchService::answerResults(const ReadResultsCall &call, const std::shared_ptr<net::Exchange> &exchange)
{
    const batch::BatchEntry *entry = m_log.index().find(call.batch);
    if (entry == nullptr) {
        notFoundOrUnsure(*exchange, call.batch, "read");
        return;
    }
    if (entry->results.size() > call.after) {
        collect(call, exchange, {});
        return;
    }
    if (!m_log.certain(BootClock::now())) {
        notFoundOrUnsure(*exchange, call.batch, "read");
        return;
    }
    respondResults(*exchange, call, *entry, {});
}

void BatchService::collect(ReadResultsCall call,
                           std::shared_ptr<net::Exchange> exchange,
                           std::vector<batch::ItemResult> collected)
{
    const batch::BatchEntry *entry = m_log.index().find(call.batch);
    if (entry == nullptr) {
        notFoundOrUnsure(*exchange, call.batch, "read");
        return;
    }
    std::size_t bytes = 0;
    for (const batch::ItemResult &result : collected) {
        bytes += result.text.size();
    }
    const std::size_t position = call.after + collected.size();
    if (bytes >= m_options.resultBytes || position >= entry->results.size()) {
        respondResults(*exchange, call, *entry, collected);
        return;
    }
    // One read of the store brings a run of records; what it does not reach is left to the next round.
    constexpr std::size_t MostAtOnce = 32;
    std::vector<std::uint64_t> offsets;
    for (std::size_t index = position; index < entry->results.size() && offsets.size() < MostAtOnce; ++index) {
        offsets.push_back(entry->results[index].payload);
    }
    m_log.fetch(entry->partition,
                std::move(offsets),
                [this, call, exchange, collected = std::move(collected)](bool complete,
                                                                         std::vector<LogRecord> records) mutable {
                    if (!complete && records.empty() && collected.empty()) {
                        m_eventLog.write(EventKind::Request,
                                         "results-unreadable",
                                         {{"batch", call.batch}, {"after", std::to_string(call.after)}});
                        respond(*exchange, Unavailable);
                        return;
                    }
                    for (const LogRecord &fetched : records) {
                        const batch::log::Record *record = batch::parseRecord(fetched.bytes);
                        if (record == nullptr || record->payload_as_ItemResult() == nullptr) {
                            m_eventLog.write(EventKind::State,
                                             "batch-record-unreadable",
                                             {{"offset", std::to_string(fetched.offset)}});
                            complete = false;
                            break;
                        }
                        collected.push_back(batch::toResult(*record->payload_as_ItemResult()));
                    }
                    if (complete) {
                        collect(std::move(call), std::move(exchange), std::move(collected));
                        return;
                    }
                    const batch::BatchEntry *now = m_log.index().find(call.batch);
                    if (now == nullptr || collected.empty()) {
                        respond(*exchange, Unavailable);
                        return;
                    }
                    respondResults(*exchange, call, *now, collected);
                });
}

void BatchService::respondResults(net::Exchange &exchange,
                                  const ReadResultsCall &call,
                                  const batch::BatchEntry &entry,
                                  const std::vector<batch::ItemResult> &results)
{
    const std::uint64_t next = call.after + results.size();
    const auto took = std::chrono::duration_cast<std::chrono::milliseconds>(BootClock::now() - exchange.receivedAt());
    m_eventLog.write(EventKind::Request,
                     "results-read",
                     {{"batch", call.batch},
                      {"after", std::to_string(call.after)},
                      {"next", std::to_string(next)},
                      {"known", std::to_string(entry.results.size())},
                      {"total", std::to_string(entry.totalItems)},
                      {"took_ms", std::to_string(took.count())}});
    respond(exchange, Ok, m_codec.results(entry.totalItems, next, results), Json);
}

void BatchService::readItem(const ReadItemCall &call, std::shared_ptr<net::Exchange> exchange)
{
    const batch::BatchEntry *entry = m_log.index().find(call.batch);
    if (entry == nullptr) {
        notFoundOrUnsure(*exchange, call.batch, "item");
        return;
    }
    if (entry->ended) {
        respond(*exchange, NotFound);
        return;
    }
    m_log.fetch(
        entry->partition, entry->parts, [this, call, exchange](bool complete, const std::vector<LogRecord> &records) {
            const batch::BatchEntry *now = m_log.index().find(call.batch);
            std::uint32_t index = 0;
            for (const LogRecord &fetched : records) {
                const batch::log::Record *record = batch::parseRecord(fetched.bytes);
                const batch::log::BatchPart *part = record == nullptr ? nullptr : record->payload_as_BatchPart();
                if (part == nullptr || part->items() == nullptr || now == nullptr) {
                    break;
                }
                for (const batch::log::Item *item : *part->items()) {
                    if (batch::text(item->id()) == call.item && index < now->listed.size()) {
                        const bool listed = now->listed[index];
                        respond(*exchange,
                                listed ? NotFound : Ok,
                                listed ? std::string() : batch::text(item->body()),
                                listed ? std::string_view() : "application/octet-stream");
                        return;
                    }
                    ++index;
                }
            }
            respond(*exchange, complete ? NotFound : Unavailable);
        });
}

void BatchService::notFoundOrUnsure(net::Exchange &exchange, const std::string &batch, std::string_view call)
{
    const bool certain = m_log.certain(BootClock::now());
    m_eventLog.write(EventKind::Request,
                     certain ? "batch-not-found" : "batch-view-stale",
                     {{"batch", batch}, {"call", std::string(call)}});
    respond(exchange, certain ? NotFound : Unavailable);
}

void BatchService::respond(net::Exchange &exchange, int status, std::string body, std::string_view type)
{
    net::Response response{.status = status, .body = std::move(body)};
    if (!type.empty()) {
        response.headers.add("Content-Type", type);
    }
    if (status == Unavailable) {
        response.headers.add("Retry-After", seconds(m_options.retryAfter));
    }
    exchange.respond(std::move(response));
}

} // namespace bergamot::node
