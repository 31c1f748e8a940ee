// Tests which contents of items are in memory, by replays of open batches that exceed it.

#include <gtest/gtest.h>

#include "bergamot/dispatch/sample_scheduler.h"

namespace bergamot::dispatch
{
namespace
{

using namespace std::chrono_literals;

constexpr Duration Tick = 50ms; // as at the owner of the pool
constexpr Duration StoreDelay = 10ms; // of an answer
constexpr Duration RunTime = 1s;

struct Shape
{
    const char *name;
    std::size_t batches = 1;
    std::size_t items = 100; // of a batch
    std::size_t itemBytes = 1024;
    std::size_t maxBytes = std::numeric_limits<std::size_t>::max();
    std::size_t engines = 9;
    std::uint32_t slots = 8;
    std::size_t itemsPerPart = 1;
    std::size_t scoringBytes = 0;
    std::size_t breakEvery = 0; // every such run breaks off after an event; 0: none
};

/// Plays the engines and the store for a scheduler.
class Replay
{
public:
    explicit Replay(const Shape &shape)
        : m_shape(shape)
        , m_scheduler({.maxBytes = shape.maxBytes})
    {
        addEngines("m", "llm");
        for (std::size_t number = 0; number < shape.batches; ++number) {
            addBatch("b" + std::to_string(number), "m", "llm", shape.items);
        }
    }

    void addEngines(const std::string &model, const std::string &service)
    {
        for (std::size_t number = 0; number < m_shape.engines; ++number) {
            m_engines.push_back({.id = service + std::to_string(number),
                                 .service = service,
                                 .address = {"10.0.0.1", static_cast<std::uint16_t>(m_engines.size() + 1)},
                                 .slots = m_shape.slots,
                                 .versions = {{model, 5}},
                                 .softwareVersion = "v1"});
        }
        m_scheduler.setEngines(m_engines, m_now);
    }

    void addBatch(const std::string &id, const std::string &model, const std::string &service, std::size_t items)
    {
        batch::Batch batch{.id = id, .host = "h", .model = model, .minVersion = 5};
        std::vector<ItemSource> sources;
        std::size_t kept = 0;
        for (std::size_t index = 0; index < items; ++index) {
            batch.items.push_back(item(id, index));
            const std::size_t bytes = batch::contentBytes(batch.items.back());
            sources.push_back({.part = static_cast<std::uint32_t>(index / m_shape.itemsPerPart),
                               .contentBytes = static_cast<std::uint32_t>(bytes),
                               .hasContent = m_scheduler.hasRoomForContent(kept + bytes)});
            kept += sources.back().hasContent ? bytes : 0;
            if (!sources.back().hasContent) {
                batch::dropContent(batch.items.back());
            }
        }
        m_open += items;
        m_scheduler.addBatch(
            std::move(batch),
            {},
            [service](const batch::Item &) {
                return ItemPolicy{.services = {service}, .resultDeadline = 1h, .retention = 1h};
            },
            m_now,
            sources);
        collect();
    }

    /// Plays until all items have their results, or until `end`.
    void play(TimePoint end)
    {
        while (m_open > 0 && m_now < end) {
            step();
        }
    }

    void step()
    {
        m_now += Tick;
        answerReads();
        endRuns();
        m_scheduler.tick(m_now);
        collect();
        EXPECT_LE(m_scheduler.memory().contents, std::max(m_shape.maxBytes, 2 * m_shape.itemBytes));
        EXPECT_LE(partsInFlight(), SampleSchedulerOptions().maxPartsInFlight);
        const std::size_t busy = m_runs.size();
        const std::size_t work = std::min(m_engines.size() * m_shape.slots, busy + m_scheduler.waitingItems());
        m_idleSlots += work - busy;
    }

    TimePoint now() const
    {
        return m_now;
    }

    SampleScheduler &scheduler()
    {
        return m_scheduler;
    }

    std::size_t open() const
    {
        return m_open;
    }

    std::size_t partsRead() const
    {
        return m_partsRead;
    }

    /// Parts that could not be read.
    std::size_t partsFailed() const
    {
        return m_partsFailed;
    }

    std::size_t partsInFlight() const
    {
        std::size_t parts = 0;
        for (const ReadContents &read : m_reads) {
            parts += read.parts.size();
        }
        return parts;
    }

    /// Slots that were free while items waited, summed over all ticks.
    std::size_t idleSlots() const
    {
        return m_idleSlots;
    }

    const std::vector<ItemKey> &starts() const
    {
        return m_starts;
    }

    std::size_t runsAt(const std::string &service) const
    {
        return static_cast<std::size_t>(std::count_if(m_runs.begin(), m_runs.end(), [&](const auto &run) {
            return run.second.engine.starts_with(service);
        }));
    }

    bool storeSilent = false;
    bool storeFails = false;

private:
    struct Run
    {
        TimePoint endsAt;
        std::string engine;
        bool breaks = false;
        std::uint64_t nextEvent = 1;
    };

    batch::Item item(const std::string &batch, std::size_t index) const
    {
        batch::Item item{.id = batch + "-" + std::to_string(index),
                         .path = "/p",
                         .body = std::string(m_shape.itemBytes, 'x'),
                         .maxTotalTokens = 100,
                         .group = std::to_string(index / 4)};
        if (m_shape.scoringBytes > 0) {
            item.scoring = batch::ScoringCall{
                .id = "s", .host = "h", .path = "/s", .body = std::string(m_shape.scoringBytes, 'y')};
        }
        return item;
    }

    void answerReads()
    {
        if (storeSilent) {
            return;
        }
        for (const ReadContents &read : std::exchange(m_reads, {})) {
            for (const std::uint32_t part : read.parts) {
                if (storeFails) {
                    ++m_partsFailed;
                    m_scheduler.contentsUnreadable(read.batch, part, m_now);
                    continue;
                }
                std::vector<batch::Item> items;
                for (std::size_t index = 0; index < m_shape.itemsPerPart; ++index) {
                    items.push_back(item(read.batch, part * m_shape.itemsPerPart + index));
                }
                ++m_partsRead;
                m_scheduler.contentsRead(read.batch, part, std::move(items), m_now - Tick + StoreDelay);
            }
            collect();
        }
    }

    void endRuns()
    {
        std::vector<std::pair<RunId, Run>> ended;
        for (const auto &[id, run] : m_runs) {
            if (m_now >= run.endsAt) {
                ended.emplace_back(id, run);
            }
        }
        for (const auto &[id, run] : ended) {
            m_runs.erase(id);
            EXPECT_TRUE(m_scheduler.runEvent(id, run.nextEvent, "data", 5, m_now));
            m_scheduler.runEnded(id, run.breaks ? RunOutcome::StaleConnection : RunOutcome::Complete, m_now);
            collect();
        }
    }

    void collect()
    {
        const auto actions = m_scheduler.takeActions();
        for (const SchedulerAction &action : actions) {
            if (const auto *start = std::get_if<StartRun>(&action)) {
                EXPECT_EQ(m_scheduler.item(start->key)->body.size(), m_shape.itemBytes);
                m_starts.push_back(start->key);
                const bool breaks = m_shape.breakEvery != 0 && m_starts.size() % m_shape.breakEvery == 0;
                m_runs[start->run] = {.endsAt = m_now + RunTime,
                                      .engine = start->engine,
                                      .breaks = breaks,
                                      .nextEvent = start->resumeAfter.value_or(0) + 1};
            } else if (const auto *cancel = std::get_if<CancelRun>(&action)) {
                m_runs.erase(cancel->run);
            } else if (const auto *read = std::get_if<ReadContents>(&action)) {
                m_reads.push_back(*read);
            } else if (const auto *scoring = std::get_if<StartScoring>(&action)) {
                EXPECT_EQ(m_scheduler.item(scoring->key)->scoring->body.size(), m_shape.scoringBytes);
                m_scheduler.scoringEnded(scoring->key, ScoringOutcome::Scored, "score", m_now);
                collect();
            } else if (const auto *commit = std::get_if<CommitResult>(&action)) {
                EXPECT_TRUE(commit->result.completed);
                EXPECT_FALSE(commit->result.text.empty());
                --m_open;
                m_scheduler.resultCommitted({commit->result.batch, commit->result.item});
            }
        }
    }

    Shape m_shape;
    SampleScheduler m_scheduler;
    std::vector<EngineDescription> m_engines;
    TimePoint m_now{1h};
    std::map<RunId, Run> m_runs;
    std::vector<ReadContents> m_reads; // without an answer
    std::vector<ItemKey> m_starts;
    std::size_t m_open = 0; // items without a result
    std::size_t m_partsRead = 0;
    std::size_t m_partsFailed = 0;
    std::size_t m_idleSlots = 0;
};

constexpr std::size_t Kilobyte = 1024;
constexpr std::size_t Megabyte = 1024 * Kilobyte;

class OpenBatchesTest : public testing::TestWithParam<Shape>
{ };

// review/13: the contents of all open batches were in memory, until the owner of the pool was killed for it.
TEST_P(OpenBatchesTest, AllItemsRunWithinTheMemoryAndNoEngineWaits)
{
    const Shape &shape = GetParam();
    Replay replay(shape);
    const std::size_t runs = shape.batches * shape.items;
    const std::size_t broken = shape.breakEvery == 0 ? 0 : 2 * runs / shape.breakEvery;
    const Duration needed = (runs + broken) * (RunTime + Tick) / (shape.engines * shape.slots);
    replay.play(replay.now() + needed + 10 * RunTime);
    EXPECT_EQ(replay.open(), 0U);
    EXPECT_EQ(replay.idleSlots(), 0U);
    EXPECT_LE(replay.partsRead(), 2 * runs); // each content again before its run, and at most once more
}

INSTANTIATE_TEST_SUITE_P(
    Shapes,
    OpenBatchesTest,
    testing::Values(
        Shape{.name = "FewLarge", .batches = 10, .items = 112, .itemBytes = 210 * Kilobyte, .maxBytes = 84 * Megabyte},
        Shape{.name = "FewLargeOnASmallMachine",
              .batches = 10,
              .items = 112,
              .itemBytes = 210 * Kilobyte,
              .maxBytes = 37 * Megabyte},
        Shape{.name = "OneLargerThanTheMemory", .items = 1000, .itemBytes = 20 * Kilobyte, .maxBytes = 8 * Megabyte},
        Shape{.name = "ManySmall",
              .batches = 60,
              .items = 50,
              .itemBytes = 2 * Kilobyte,
              .maxBytes = 3 * Megabyte,
              .itemsPerPart = 25},
        Shape{.name = "LargeScoringCalls",
              .batches = 5,
              .items = 112,
              .itemBytes = 100 * Kilobyte,
              .maxBytes = 37 * Megabyte,
              .scoringBytes = 100 * Kilobyte},
        Shape{.name = "RunsBreakOff",
              .batches = 5,
              .items = 112,
              .itemBytes = 210 * Kilobyte,
              .maxBytes = 37 * Megabyte,
              .breakEvery = 5},
        Shape{.name = "ManyEngines",
              .batches = 17,
              .items = 400,
              .itemBytes = 10 * Kilobyte,
              .maxBytes = 37 * Megabyte,
              .engines = 96,
              .itemsPerPart = 20}),
    [](const auto &test) {
        return test.param.name;
    });

TEST(ContentsTest, NothingIsReadAgainIfEverythingFits)
{
    Replay replay({.name = "", .batches = 3, .scoringBytes = 100});
    replay.play(replay.now() + 1min);
    EXPECT_EQ(replay.open(), 0U);
    EXPECT_EQ(replay.partsRead(), 0U);
}

TEST(ContentsTest, RunsGoOnWhileTheStoreDoesNotAnswer)
{
    Replay replay({.name = "", .batches = 10, .items = 112, .itemBytes = 210 * Kilobyte, .maxBytes = 84 * Megabyte});
    replay.play(replay.now() + 2s);
    replay.storeSilent = true;
    const std::size_t before = replay.starts().size();
    replay.play(replay.now() + 3s);
    EXPECT_GE(replay.starts().size() - before, 200U); // of 72 at a time
    replay.storeSilent = false;
    replay.play(replay.now() + 1min);
    EXPECT_EQ(replay.open(), 0U);
}

TEST(ContentsTest, AReadThatFailsIsRepeatedAfterAPause)
{
    Replay replay({.name = "", .batches = 4, .items = 100, .itemBytes = 100 * Kilobyte, .maxBytes = 8 * Megabyte});
    replay.storeFails = true;
    constexpr Duration Outage = 10s;
    replay.play(replay.now() + Outage);
    EXPECT_GT(replay.open(), 0U);
    const SampleSchedulerOptions options;
    EXPECT_LE(replay.partsFailed(),
              static_cast<std::size_t>(Outage / options.contentRetryDelay + 1) * options.maxPartsInFlight);
    replay.storeFails = false;
    replay.play(replay.now() + 1min);
    EXPECT_EQ(replay.open(), 0U);
}

// The contents of a model that was submitted before must not keep the engines of another one idle.
TEST(ContentsTest, EachModelHasItsShareOfTheMemory)
{
    Replay replay({.name = "", .batches = 5, .items = 112, .itemBytes = 210 * Kilobyte, .maxBytes = 37 * Megabyte});
    replay.play(replay.now() + 1s);
    replay.addEngines("other", "other-llm");
    replay.addBatch("o", "other", "other-llm", 112);
    replay.play(replay.now() + 500ms);
    EXPECT_EQ(replay.runsAt("other-llm"), 72U);
}

TEST(ContentsTest, NoRunStartsWhileTextsWaitForTheStore)
{
    Replay replay({.name = "", .batches = 2, .items = 112, .maxBytes = 8 * Megabyte});
    replay.scheduler().setUnwrittenBytes(5 * Megabyte);
    replay.play(replay.now() + 3s);
    EXPECT_TRUE(replay.scheduler().startsHeldForTexts());
    EXPECT_EQ(replay.starts().size(), 72U); // those that had started
    replay.scheduler().setUnwrittenBytes(0);
    replay.play(replay.now() + 10s);
    EXPECT_EQ(replay.open(), 0U);
}

TEST(ContentsTest, BatchesWaitUntilTheirEntriesFit)
{
    constexpr std::size_t LargeBatch = 20000;
    SampleScheduler scheduler({.maxBytes = 16 * Megabyte});
    EXPECT_TRUE(scheduler.hasRoomForBatch(LargeBatch)); // one always fits
    batch::Batch batch{.id = "b"};
    batch.items.resize(LargeBatch / 4);
    scheduler.addBatch(
        batch,
        {},
        [](const batch::Item &) {
            return ItemPolicy{};
        },
        TimePoint(1h));
    EXPECT_FALSE(scheduler.hasRoomForBatch(LargeBatch));
    EXPECT_TRUE(scheduler.hasRoomForBatch(LargeBatch / 4));
    scheduler.endBatch("b");
    EXPECT_TRUE(scheduler.hasRoomForBatch(LargeBatch));
}

} // namespace
} // namespace bergamot::dispatch
