#pragma once

// A log with random faults, for property tests of folds: lost answers, appends that land late, outages, cut-off, paused
// and restarted clients, short retention. Deterministic for a seed; time is virtual.
//
//     RandomLog log(seed, "duties", [] { return std::make_unique<LeaseFold>(); });
//     RandomLogClient client(log, "instance-1", 1, fold);
//     log.advance(50ms);
//     client.step();

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "bergamot/base/clock.h"
#include "bergamot/journal/append_queue.h"
#include "bergamot/journal/appender.h"
#include "bergamot/journal/checkpoint_timer.h"
#include "bergamot/journal/stream_follower.h"
#include "bergamot/standins/log_core.h"

namespace bergamot
{

/// How often what fails, as one in so many steps.
struct RandomFaults
{
    std::uint32_t outage = 600; // of the log
    Duration longestOutage = std::chrono::seconds(15);
    std::uint32_t pause = 300; // of a client
    Duration longestPause = std::chrono::seconds(10);
    std::uint32_t cut = 500; // of a client from the log
    std::uint32_t heal = 100; // of a client that is cut off
};

/// One stream, and a fold that has read all of it from the start.
class RandomLog
{
public:
    RandomLog(std::uint64_t seed, std::string stream, std::unique_ptr<StreamFold> reference);

    void advance(Duration step);
    /// Runs `event` once that much time has passed.
    void after(Duration delay, std::function<void()> event);
    /// May begin an outage, which ends by itself.
    void injectFaults(const RandomFaults &faults);
    Result<Offset> append(std::vector<Record> records);
    Result<LogPage> read(Offset from);
    /// The state after `offset`, as the fold that has read everything has it.
    const std::string &stateAt(Offset offset) const;

    /// True once in `times` on average.
    bool oneIn(std::uint32_t times);
    Duration between(Duration least, Duration most);

    const std::string stream;
    ManualClock clock;
    bool out = false;
    std::mt19937_64 random;

private:
    LogCore m_core;
    std::unique_ptr<StreamFold> m_reference;
    std::map<Offset, std::string> m_states;
    std::multimap<TimePoint, std::function<void()>> m_events;
};

/// One process on the log: appends through an `AppendQueue`, follows the stream and writes checkpoints.
class RandomLogClient final : public Appender
{
public:
    /// `log` and `fold` outlive the client.
    RandomLogClient(RandomLog &log, std::string writer, std::uint64_t incarnation, StreamFold &fold);
    ~RandomLogClient() override;

    RecordId append(const std::string &stream, std::string kind, std::string payload, Callback<Offset> done) override;
    /// Handles what has arrived. Returns true if the fold has advanced. Does nothing while paused.
    bool step();
    /// May pause this client, cut it off or heal it.
    void injectFaults(const RandomFaults &faults);
    bool paused() const;
    /// True if the fold is not what the reference had at its offset.
    bool diverged() const;
    bool caughtUp() const;

    bool cutOff = false;
    TimePoint pausedUntil;

private:
    struct Link;

    void send(AppendSend send);
    void startRead();
    void noteRecord(const StoredRecord &stored);
    void checkpointIfDue();

    RandomLog &m_log;
    const std::string m_writer;
    const std::uint64_t m_incarnation;
    StreamFold &m_fold;
    AppendQueue m_queue;
    StreamFollower m_follower;
    CheckpointTimer m_timer;
    CheckpointAssembler m_checkpointParts;
    std::uint64_t m_bytesSinceCheckpoint = 0;
    std::uint64_t m_sequence = 0;
    bool m_reading = false;
    std::shared_ptr<Link> m_link; // shared with events that outlive the client
};

} // namespace bergamot
