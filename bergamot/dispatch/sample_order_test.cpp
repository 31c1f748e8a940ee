// Which sample starts first, and what placing one costs.

#include "bergamot/dispatch/internal/scheduler_fixture.h"

namespace bergamot::dispatch
{
namespace
{

TEST_F(SampleSchedulerTest, AnOlderBatchGoesFirst)
{
    addBatch("a", 5);
    addBatch("b", 5);
    event(m_starts[0].run, 1);
    end(m_starts[0].run, RunEnd::Complete);
    EXPECT_EQ(m_starts.back().key, (ItemKey{"a", 4}));
}

TEST_F(SampleSchedulerTest, GroupsThatCameAgainGoFirstThenThoseWithTheLeastToDo)
{
    setEngines({engine("e1", 5, 1)});
    batch::Batch first{.id = "a", .host = "h", .model = "m", .minVersion = 4};
    first.items.push_back({.id = "a0", .path = "/p", .group = "again", .expectedOutput = 900});
    m_scheduler.addBatch(first, {}, m_route, m_now);
    m_scheduler.endBatch("a");
    collect();
    batch::Batch second{.id = "b", .host = "h", .model = "m", .minVersion = 4, .wantedGroups = 2, .items = {}};
    second.items.push_back({.id = "b0", .path = "/p", .group = "long", .expectedOutput = 500});
    second.items.push_back({.id = "b1", .path = "/p", .group = "short", .expectedOutput = 50});
    second.items.push_back({.id = "b2", .path = "/p", .group = "short", .expectedOutput = 80});
    second.items.push_back({.id = "a0", .path = "/p", .group = "again", .expectedOutput = 900});
    m_scheduler.addBatch(second, {}, m_route, m_now);
    collect();
    m_starts.erase(m_starts.begin());
    std::vector<std::uint32_t> order;
    for (int count = 0; count < 4; ++count) {
        order.push_back(m_starts.back().key.item);
        event(m_starts.back().run, 1);
        end(m_starts.back().run, RunEnd::Complete);
    }
    EXPECT_EQ(order, (std::vector<std::uint32_t>{3, 2, 1, 0}));
}

struct StepCase
{
    const char *name;
    std::uint32_t slots; // of each of two engines
    std::uint32_t groups;
    std::uint32_t wanted;
    std::uint32_t longest; // tokens of the longest item of the awaited groups
};

class StepTimeTest : public SampleSchedulerTest, public testing::WithParamInterface<StepCase>
{
protected:
    static constexpr std::uint32_t ItemsOfGroup = 8;
    static constexpr std::uint32_t UsualTokens = 50;

    /// Every group has one long item; those beyond the awaited ones have the longest.
    batch::Batch step() const
    {
        batch::Batch batch{
            .id = "s", .host = "h", .model = "m", .minVersion = 4, .wantedGroups = GetParam().wanted, .items = {}};
        for (std::uint32_t group = 0; group < GetParam().groups; ++group) {
            const std::uint32_t top = group < GetParam().wanted ? GetParam().longest * (group + 1) / GetParam().wanted
                                                                : GetParam().longest * 2;
            for (std::uint32_t item = 0; item < ItemsOfGroup; ++item) {
                batch.items.push_back({.id = std::to_string(group) + "." + std::to_string(item),
                                       .path = "/p",
                                       .group = std::to_string(group),
                                       .expectedOutput = item == 0 ? top : UsualTokens});
            }
        }
        return batch;
    }

    /// Plays the step with runs of one tick a token, and returns the tick at which the awaited groups are whole.
    std::uint32_t play(const batch::Batch &batch)
    {
        std::map<std::uint32_t, std::vector<StartRun>> ends; // by tick
        std::set<std::uint32_t> missing; // items of the awaited groups
        for (std::uint32_t item = 0; item < GetParam().wanted * ItemsOfGroup; ++item) {
            missing.insert(item);
        }
        m_scheduler.addBatch(batch, {}, m_route, m_now);
        collect();
        std::size_t seen = 0;
        for (std::uint32_t tick = 0;; ++tick) {
            for (; seen < m_starts.size(); ++seen) {
                ends[tick + batch.items[m_starts[seen].key.item].expectedOutput].push_back(m_starts[seen]);
            }
            for (const StartRun &run : ends[tick]) {
                event(run.run, 1);
                end(run.run, RunEnd::Complete);
                missing.erase(run.key.item);
            }
            if (missing.empty()) {
                return tick;
            }
        }
    }
};

// Replays a step at full load with a few samples many times longer than the others. No order can end before the
// longest item or before the slots have done all the work; starting the longest first ends within a third of that.
TEST_P(StepTimeTest, AStepEndsSoonAfterItsLongestItemCould)
{
    setEngines({engine("e1", 5, GetParam().slots), engine("e2", 5, GetParam().slots)});
    const batch::Batch batch = step();
    std::uint32_t work = 0;
    for (std::uint32_t item = 0; item < GetParam().wanted * ItemsOfGroup; ++item) {
        work += batch.items[item].expectedOutput;
    }
    const std::uint32_t bound = std::max(GetParam().longest, work / (2 * GetParam().slots));
    EXPECT_LE(play(batch), bound + bound / 3);
}

INSTANTIATE_TEST_SUITE_P(Steps,
                         StepTimeTest,
                         testing::Values(StepCase{"LongTail", 10, 9, 8, 400},
                                         StepCase{"VeryLongTail", 10, 14, 12, 900},
                                         StepCase{"ShortTail", 10, 14, 12, 100},
                                         StepCase{"FewSlots", 4, 14, 12, 400},
                                         StepCase{"AllAwaited", 10, 9, 9, 400}),
                         [](const auto &test) {
                             return test.param.name;
                         });

struct SizeCase
{
    const char *name;
    std::size_t engines;
};

class SizeTest : public SampleSchedulerTest, public testing::WithParamInterface<SizeCase>
{ };

// Replays a thousand engines at full load: what one ending run costs must not grow with the number of engines or of
// samples that run.
TEST_P(SizeTest, AnEndingRunWeighsItsOwnEngineOnly)
{
    std::vector<EngineFacts> engines;
    for (std::size_t number = 0; number < GetParam().engines; ++number) {
        engines.push_back(engine("e" + std::to_string(number), 5));
    }
    setEngines(engines);
    constexpr std::size_t Batches = 10;
    for (std::size_t number = 0; number < Batches; ++number) {
        addBatch("b" + std::to_string(number), GetParam().engines);
    }
    ASSERT_EQ(m_starts.size(), 2 * GetParam().engines);
    pass(50ms);
    const std::uint64_t before = m_scheduler.enginesExamined();
    const std::size_t ends = GetParam().engines / 2;
    for (std::size_t number = 0; number < ends; ++number) {
        event(m_starts[number].run, 1);
        end(m_starts[number].run, RunEnd::Complete);
    }
    EXPECT_EQ(m_starts.size(), 2 * GetParam().engines + ends);
    EXPECT_LE(m_scheduler.enginesExamined() - before, ends * (Batches + 1));
    const std::uint64_t beforeTick = m_scheduler.enginesExamined();
    pass(50ms);
    EXPECT_LE(m_scheduler.enginesExamined() - beforeTick, Batches) << "full engines are weighed";
}

INSTANTIATE_TEST_SUITE_P(Engines,
                         SizeTest,
                         testing::Values(SizeCase{"Ten", 10}, SizeCase{"Hundred", 100}, SizeCase{"Thousand", 1000}),
                         [](const auto &test) {
                             return test.param.name;
                         });

TEST_F(SampleSchedulerTest, ALateBatchYieldsToOneThatCanBeInTime)
{
    m_route.resultDeadline = 5s;
    setEngines({engine("e1", 5, 1)});
    addBatch("late", 3);
    pass(6s);
    addBatch("new", 1);
    event(m_starts[0].run, 1);
    end(m_starts[0].run, RunEnd::Complete);
    EXPECT_EQ(m_starts.back().key.batch, "new");
}

} // namespace
} // namespace bergamot::dispatch
