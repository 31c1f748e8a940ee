// Replays the restart of every instance in simulated time: all of them read the whole log through the shared bandwidth
// of one store, which serves the reads in the order in which they arrive, whether or not somebody still waits for them.

#include <queue>

#include <gtest/gtest.h>

#include "bergamot/logstore/read_schedule.h"

namespace bergamot::logstore
{
namespace
{

using namespace std::chrono_literals;

constexpr double StoreBytesPerSecond = 80e6;
constexpr std::uint64_t RecordBytes = 100;
constexpr Duration Latency = 4ms;
constexpr Duration StartSpread = 300ms; // between the first and the last start
constexpr Duration SimulatedTime = 60s;

struct RestartOutcome
{
    Duration lastCaughtUp{}; // since the first start; zero if an instance never caught up
    double bytes = 0; // that the store served
};

class RestartSimulation
{
public:
    RestartSimulation(std::size_t instances, std::uint64_t records, const ReadScheduleOptions &options)
        : m_records(records)
    {
        for (std::size_t index = 0; index < instances; ++index) {
            m_schedules.emplace_back(options, index + 1);
            schedule(StartSpread * static_cast<std::int64_t>(index) / static_cast<std::int64_t>(instances),
                     {.kind = Kind::Start, .instance = index});
        }
        m_options = options;
    }

    RestartOutcome run()
    {
        std::size_t missing = m_schedules.size();
        RestartOutcome outcome;
        while (!m_events.empty() && m_events.top().at - Start < SimulatedTime && missing > 0) {
            const Event event = m_events.top();
            m_events.pop();
            m_now = event.at;
            ReadSchedule &schedule = m_schedules[event.instance];
            const bool before = schedule.caughtUp();
            handle(event, schedule);
            if (!before && schedule.caughtUp()) {
                --missing;
                outcome.lastCaughtUp = m_now - Start;
            }
        }
        outcome.bytes = m_bytes;
        if (missing > 0) {
            outcome.lastCaughtUp = Duration::zero();
        }
        return outcome;
    }

private:
    enum class Kind {
        Start,
        Wake,
        Response,
        Timeout,
    };

    struct Event
    {
        Kind kind = Kind::Wake;
        std::size_t instance = 0;
        PlannedRead read;
        std::size_t count = 0;
        TimePoint at{};
    };

    static constexpr TimePoint Start{1h};

    void schedule(Duration delay, Event event)
    {
        event.at = m_now + delay;
        m_events.push(event);
    }

    void handle(const Event &event, ReadSchedule &schedule)
    {
        switch (event.kind) {
        case Kind::Start:
            schedule.start(0, m_now);
            break;
        case Kind::Wake:
            break;
        case Kind::Response:
            schedule.onRecords(event.read.id, event.read.from, event.count, m_records, m_now);
            break;
        case Kind::Timeout:
            schedule.onFailed(event.read.id, m_now);
            break;
        }
        while (const std::optional<PlannedRead> read = schedule.next(m_now)) {
            send(event.instance, *read);
        }
        if (schedule.wakeAt() > m_now && schedule.wakeAt() != TimePoint::max()) {
            this->schedule(schedule.wakeAt() - m_now, {.kind = Kind::Wake, .instance = event.instance});
        }
    }

    void send(std::size_t instance, const PlannedRead &read)
    {
        const std::uint64_t available = m_records - std::min(m_records, read.from);
        const std::uint64_t count =
            std::min<std::uint64_t>(available, std::uint64_t{read.kilobytes} * 1024 / RecordBytes);
        const double bytes = static_cast<double>(count * RecordBytes);
        m_bytes += bytes;
        m_busyUntil = std::max(m_busyUntil, m_now)
            + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(bytes / StoreBytesPerSecond));
        const Duration took = m_busyUntil - m_now + Latency;
        if (took > m_options.responseTimeout) {
            schedule(m_options.responseTimeout, {.kind = Kind::Timeout, .instance = instance, .read = read});
        } else {
            schedule(took, {.kind = Kind::Response, .instance = instance, .read = read, .count = count});
        }
    }

    struct Later
    {
        bool operator()(const Event &left, const Event &right) const
        {
            return left.at > right.at;
        }
    };

    std::uint64_t m_records;
    ReadScheduleOptions m_options;
    std::vector<ReadSchedule> m_schedules;
    std::priority_queue<Event, std::vector<Event>, Later> m_events;
    TimePoint m_now = Start;
    TimePoint m_busyUntil = Start;
    double m_bytes = 0;
};

struct RestartCase
{
    const char *name;
    std::size_t instances;
    std::uint64_t records;
};

class RestartLoadTest : public testing::TestWithParam<RestartCase>
{
protected:
    double neededBytes() const
    {
        return static_cast<double>(GetParam().instances * GetParam().records * RecordBytes);
    }
};

TEST_P(RestartLoadTest, EveryInstanceCatchesUpInTheTimeThatTheBytesTake)
{
    const RestartOutcome outcome = RestartSimulation(GetParam().instances, GetParam().records, {}).run();
    ASSERT_GT(outcome.lastCaughtUp, 0s) << "an instance never caught up";
    const double transferSeconds = neededBytes() / StoreBytesPerSecond;
    EXPECT_LT(std::chrono::duration<double>(outcome.lastCaughtUp).count(), 1.5 * transferSeconds + 1);
    EXPECT_LT(outcome.bytes, 1.25 * neededBytes()) << "bytes were transferred again";
}

INSTANTIATE_TEST_SUITE_P(Sizes,
                         RestartLoadTest,
                         testing::Values(RestartCase{"Instances30", 30, 15000},
                                         RestartCase{"Instances100", 100, 15000},
                                         RestartCase{"Instances300", 300, 15000},
                                         RestartCase{"Instances610", 610, 15000},
                                         RestartCase{"LongLog", 300, 100000}),
                         [](const auto &test) {
                             return test.param.name;
                         });

// The load that these decisions answer: with large reads that are given up and repeated, no instance of a large
// deployment ever catches up.
TEST(RestartLoad, ReadsThatAreGivenUpKeepTheStoreBusyForEver)
{
    const ReadScheduleOptions givenUp{.responseTimeout = 700ms,
                                      .hedgeAfter = 10s,
                                      .maxHedgeInterval = 10s,
                                      .minKilobytes = 256,
                                      .initialKilobytes = 256,
                                      .backoff = {.initial = 150ms, .maximum = 150ms}};
    EXPECT_GT(RestartSimulation(30, 15000, givenUp).run().lastCaughtUp, 0s);
    EXPECT_EQ(RestartSimulation(300, 15000, givenUp).run().lastCaughtUp, 0s);
}

} // namespace
} // namespace bergamot::logstore
