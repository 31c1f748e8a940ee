#pragma once

// An asynchronous store for tests, backed by a `MemoryLog`, with fault injection.
//
//     FakeLogStore store(loop, log);
//     store.faults.loseAnswers = 2; // the next two appends are executed, but their outcome is lost

#include <memory>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include "bergamot/logstore/memory_log.h"

namespace bergamot::logstore
{

struct StoreFaults
{
    bool down = false; // every call fails
    int loseAnswers = 0; // number of next appends that are executed and reported as Unknown
    int refuse = 0; // number of next appends that are refused
};

/// Callbacks run on the loop. Not thread-safe.
class FakeLogStore final : public LogStore
{
public:
    FakeLogStore(boost::asio::io_context &loop, MemoryLog &log)
        : m_loop(loop)
        , m_log(log)
    { }

    void append(Append append, std::function<void(const AppendOutcome &)> done) override
    {
        ++appends;
        AppendOutcome outcome{.status = AppendStatus::NotAppended};
        if (faults.down || faults.refuse > 0) {
            faults.refuse -= faults.refuse > 0 ? 1 : 0;
        } else {
            outcome = m_log.append(append);
            if (faults.loseAnswers > 0) {
                --faults.loseAnswers;
                outcome = {.status = AppendStatus::Unknown};
            }
        }
        boost::asio::post(m_loop, [done = std::move(done), outcome] {
            done(outcome);
        });
    }

    void read(Read read, std::function<void(ReadOutcome)> done) override
    {
        ReadOutcome outcome;
        if (!faults.down) {
            outcome = m_log.read(read.topic, read.partition, read.from, std::size_t{read.maxKilobytes} * 1024);
        }
        const bool empty =
            outcome.status == ReadStatus::Done && outcome.records.empty() && read.wait > Duration::zero();
        auto timer = std::make_shared<boost::asio::steady_timer>(m_loop, empty ? EmptyReadDelay : Duration::zero());
        timer->async_wait(
            [done = std::move(done), outcome = std::move(outcome), timer](const boost::system::error_code &) {
                done(outcome);
            });
    }

    void readNewest(ReadNewest read, std::function<void(ReadNewestOutcome)> done) override
    {
        ReadNewestOutcome outcome;
        if (!faults.down) {
            outcome = m_log.readNewest(read.topic, read.after);
        }
        boost::asio::post(m_loop, [done = std::move(done), outcome = std::move(outcome)] {
            done(outcome);
        });
    }

    StoreFaults faults;
    int appends = 0;

private:
    static constexpr Duration EmptyReadDelay = std::chrono::milliseconds(5); // shortened wait of a long poll

    boost::asio::io_context &m_loop;
    MemoryLog &m_log;
};

} // namespace bergamot::logstore
