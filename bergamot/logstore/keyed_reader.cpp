#include "bergamot/logstore/keyed_reader.h"

namespace bergamot::logstore
{

struct KeyedReader::State : std::enable_shared_from_this<KeyedReader::State>
{
    State(boost::asio::io_context &loop, LogStore &logStore, KeyedReaderOptions readerOptions, std::uint64_t seed)
        : store(logStore)
        , options(std::move(readerOptions))
        , backoff(options.backoff, seed)
        , timer(loop)
    { }

    void readPage()
    {
        store.readNewest({.topic = options.topic, .after = after, .timeout = timeout},
                         [weak = weak_from_this(), generation = generation](ReadNewestOutcome outcome) {
                             const std::shared_ptr<State> state = weak.lock();
                             if (state != nullptr && state->generation == generation) {
                                 state->handlePage(std::move(outcome));
                             }
                         });
    }

    void handlePage(ReadNewestOutcome outcome)
    {
        if (outcome.status != ReadStatus::Done) {
            ++content.failures;
            lastError = std::move(outcome.detail);
            timeout = std::min(2 * timeout, options.maxTimeout);
            readPageAfter(backoff.nextDelay());
            return;
        }
        if (after.empty()) {
            // Later pages may hold records written after this offset. Following the topic from this offset returns them
            // a second time, which is harmless.
            content.end = outcome.end;
        }
        if (!outcome.records.empty()) {
            after = outcome.records.back().key;
        }
        std::move(outcome.records.begin(), outcome.records.end(), std::back_inserter(content.records));
        timeout = options.timeout;
        backoff.reset();
        if (outcome.hasMore) {
            readPage();
            return;
        }
        const auto finished = std::exchange(done, nullptr);
        finished(std::exchange(content, {}));
    }

    void readPageAfter(Duration delay)
    {
        timer.expires_after(delay);
        timer.async_wait([weak = weak_from_this(), generation = generation](const boost::system::error_code &error) {
            const std::shared_ptr<State> state = weak.lock();
            if (!error && state != nullptr && state->generation == generation) {
                state->readPage();
            }
        });
    }

    LogStore &store;
    KeyedReaderOptions options;
    Backoff backoff;
    boost::asio::steady_timer timer;
    std::function<void(KeyedContent)> done;
    KeyedContent content;
    std::string after; // last key of the pages that have been read
    std::string lastError;
    Duration timeout{};
    std::uint64_t generation = 0; // invalidates callbacks of a read that was replaced
};

KeyedReader::KeyedReader(boost::asio::io_context &loop, LogStore &store, KeyedReaderOptions options, std::uint64_t seed)
    : m_state(std::make_shared<State>(loop, store, std::move(options), seed))
{ }

KeyedReader::~KeyedReader() = default;

void KeyedReader::read(std::function<void(KeyedContent)> done)
{
    ++m_state->generation;
    m_state->timer.cancel();
    m_state->done = std::move(done);
    m_state->content = {};
    m_state->after.clear();
    m_state->lastError.clear();
    m_state->timeout = m_state->options.timeout;
    m_state->backoff.reset();
    m_state->readPage();
}

bool KeyedReader::reading() const
{
    return m_state->done != nullptr;
}

const std::string &KeyedReader::lastError() const
{
    return m_state->lastError;
}

} // namespace bergamot::logstore
