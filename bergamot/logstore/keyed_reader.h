#pragma once

// Reads the newest record of each key of a keyed topic, page by page. A page that fails is read again after a back-off
// with a longer timeout; the pages before it are kept.
//
//     KeyedReader reader(loop, store, {.topic = "keyed.op"}, seed);
//     reader.read([](KeyedContent content) { ... });
//
// Load pattern: all instances start at once and read the same topic through the store's shared bandwidth.

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "bergamot/logstore/backoff.h"
#include "bergamot/logstore/log_store.h"

namespace bergamot::logstore
{

struct KeyedReaderOptions
{
    std::string topic;
    Duration timeout = std::chrono::milliseconds(1500); // for one page; doubles with each failure of the page
    Duration maxTimeout = std::chrono::seconds(6);
    BackoffOptions backoff;
};

struct KeyedContent
{
    std::vector<KeyedRecord> records; // by ascending key
    std::uint64_t end = 0; // records of the topic from this offset on may be missing
    std::uint32_t failures = 0; // pages that were read again
};

/// Not thread-safe.
class KeyedReader
{
public:
    KeyedReader(boost::asio::io_context &loop, LogStore &store, KeyedReaderOptions options, std::uint64_t seed);
    ~KeyedReader();
    KeyedReader(const KeyedReader &) = delete;
    KeyedReader &operator=(const KeyedReader &) = delete;

    /// Starts reading; replaces a read that is in progress. `done` runs once all pages have been read.
    void read(std::function<void(KeyedContent)> done);
    /// Whether a read is in progress.
    bool reading() const;
    /// Outcome of the last page that failed; empty if none did since `read`.
    const std::string &lastError() const;

private:
    struct State;

    std::shared_ptr<State> m_state;
};

} // namespace bergamot::logstore
