#pragma once

// Appends of payloads: records that count only once another record names their offset. They need no order and no
// fence, so an append whose outcome is unknown is simply done again; what the first one left is never named.
//
//     BulkWriter writer(loop, store, {.topic = "payloads"});
//     writer.write(partition, text, [](std::optional<std::uint64_t> offset) { ... });
//
// Load pattern: dozens of texts finish within a few milliseconds. What comes while a call is under way goes out with
// the next one of its partition.

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "bergamot/logstore/log_store.h"

namespace bergamot::logstore
{

struct BulkWriterOptions
{
    std::string topic;
    std::size_t callBytes = 1024 * 1024; // of the records of one call
    Duration timeout = std::chrono::milliseconds(900); // of one call
    Duration retryPause = std::chrono::milliseconds(60);
};

/// Not thread-safe.
class BulkWriter
{
public:
    /// The record's offset; nothing if it was dropped or can never be written.
    using Done = std::function<void(std::optional<std::uint64_t> offset)>;

    BulkWriter(boost::asio::io_context &loop, LogStore &store, BulkWriterOptions options);
    ~BulkWriter();
    BulkWriter(const BulkWriter &) = delete;
    BulkWriter &operator=(const BulkWriter &) = delete;

    void write(std::uint32_t partition, std::string record, Done done);
    /// Drops what waits.
    void clear();
    std::size_t waiting() const;

private:
    struct State;

    std::shared_ptr<State> m_state;
};

} // namespace bergamot::logstore
