#include "bergamot/intents/configuration_fold.h"

#include <gtest/gtest.h>

#include "bergamot/base/json.h"

namespace bergamot
{
namespace
{

/// A stream in memory; `copy` appends a record a second time.
class Journal
{
public:
    void add(const std::string &kind, const std::string &payload)
    {
        records.push_back({records.size() + 1, {{"w", 1, ++m_sequence}, kind, payload}});
    }

    void copy(std::size_t index)
    {
        records.push_back({records.size() + 1, records.at(index).record});
    }

    void intent(const std::string &id, std::uint64_t base, const std::string &set)
    {
        const Result<Intent> parsed =
            parseIntent(*parseJson(R"({"id":")" + id + R"(","operator":"op-)" + id + R"(","set":)" + set + "}"));
        add("intent", intentPayload(*parsed, base, web::json::value::object(), {}));
    }

    void confirm(const std::string &id)
    {
        add("confirm", confirmPayload(planIdOf(IntentId(id)), "op-" + id));
    }

    ConfigurationFold fold(std::size_t count = SIZE_MAX) const
    {
        ConfigurationFold folded;
        for (std::size_t i = 0; i < std::min(count, records.size()); ++i) {
            folded.apply(records[i]);
        }
        return folded;
    }

    std::vector<StoredRecord> records;

private:
    std::uint64_t m_sequence = 0;
};

const std::string ModelM = R"({"models":{"m":{}}})";
const std::string ModelN = R"({"models":{"n":{}}})";

TEST(ConfigurationFold, takesEffectOnlyWhenConfirmed)
{
    Journal journal;
    journal.intent("a", 0, ModelM);
    EXPECT_EQ(journal.fold().configuration().version, 0U);
    EXPECT_EQ(journal.fold().findPlan(PlanId("plan-a"))->state, PlanState::Planned);
    journal.confirm("a");
    const ConfigurationFold fold = journal.fold();
    EXPECT_EQ(fold.configuration().version, 1U);
    EXPECT_EQ(fold.configuration().offset, 2U);
    EXPECT_TRUE(fold.configuration().models.contains(ModelId("m")));
}

TEST(ConfigurationFold, letsTheFirstOfTwoCollidingConfirmationsWinAndTellsBoth)
{
    Journal journal;
    journal.intent("a", 0, ModelM);
    journal.intent("b", 0, ModelN);
    journal.confirm("b");
    journal.confirm("a");
    const ConfigurationFold fold = journal.fold();
    EXPECT_EQ(fold.configuration().version, 1U);
    EXPECT_FALSE(fold.configuration().models.contains(ModelId("m")));
    const PlanEntry &loser = *fold.findIntent(IntentId("a"));
    const PlanEntry &winner = *fold.findIntent(IntentId("b"));
    EXPECT_EQ(loser.state, PlanState::Superseded);
    EXPECT_EQ(loser.supersededBy, winner.intent);
    EXPECT_NE(loser.reason.find("'b' of op-b"), std::string::npos);
    EXPECT_EQ(loser.collisions, std::vector<IntentId>{winner.intent});
    EXPECT_EQ(winner.collisions, std::vector<IntentId>{loser.intent});
}

struct RecordCase
{
    std::string name;
    std::function<void(Journal &)> add; // after intent "a" was confirmed as version 1
    std::uint64_t version; // afterwards
};

class ExtraRecords : public testing::TestWithParam<RecordCase>
{ };

TEST_P(ExtraRecords, changeNothingThatTheyMustNot)
{
    Journal journal;
    journal.intent("a", 0, ModelM);
    journal.confirm("a");
    GetParam().add(journal);
    const ConfigurationFold fold = journal.fold();
    EXPECT_EQ(fold.configuration().version, GetParam().version);
    EXPECT_EQ(fold.applied(), journal.records.size());
    EXPECT_EQ(fold.findIntent(IntentId("a"))->offset, 1U);
    EXPECT_EQ(fold.findIntent(IntentId("a"))->version, 1U);
}

INSTANTIATE_TEST_SUITE_P(Table,
                         ExtraRecords,
                         testing::Values(RecordCase{"copies",
                                                    [](Journal &j) {
                                                        j.copy(0);
                                                        j.copy(1);
                                                    },
                                                    1},
                                         RecordCase{"second confirmation",
                                                    [](Journal &j) {
                                                        j.confirm("a");
                                                    },
                                                    1},
                                         RecordCase{"same id, other content",
                                                    [](Journal &j) {
                                                        j.intent("a", 1, ModelN);
                                                        j.confirm("a");
                                                    },
                                                    1},
                                         RecordCase{"old base",
                                                    [](Journal &j) {
                                                        j.intent("b", 0, ModelN);
                                                        j.confirm("b");
                                                    },
                                                    1},
                                         RecordCase{"unreadable",
                                                    [](Journal &j) {
                                                        j.add("intent", "{");
                                                        j.add("x", "[]");
                                                    },
                                                    1},
                                         RecordCase{"unknown plan",
                                                    [](Journal &j) {
                                                        j.confirm("z");
                                                        j.add("confirm", "{}");
                                                    },
                                                    1},
                                         RecordCase{"refused",
                                                    [](Journal &j) {
                                                        j.intent("b", 1, R"({"trainers":{"t":{"model":"z"}}})");
                                                        j.confirm("b");
                                                    },
                                                    1},
                                         RecordCase{"next",
                                                    [](Journal &j) {
                                                        j.intent("b", 1, ModelN);
                                                        j.confirm("b");
                                                    },
                                                    2}),
                         [](const testing::TestParamInfo<RecordCase> &row) {
                             std::string name = row.param.name;
                             std::replace_if(
                                 name.begin(),
                                 name.end(),
                                 [](char c) {
                                     return std::isalnum(c) == 0;
                                 },
                                 '_');
                             return name;
                         });

TEST(ConfigurationFold, namesWhoMovedTheBaseOfALatePlan)
{
    Journal journal;
    journal.intent("a", 0, ModelM);
    journal.confirm("a");
    journal.intent("b", 0, ModelN);
    EXPECT_EQ(journal.fold().findIntent(IntentId("b"))->supersededBy, IntentId("a"));
}

TEST(ConfigurationFold, goesOnFromACheckpointAsIfItHadReadAll)
{
    Journal journal;
    journal.intent("a", 0, ModelM);
    journal.intent("b", 0, ModelN);
    journal.confirm("a");
    journal.confirm("b");
    journal.copy(0);
    journal.intent("c", 1, ModelN);
    journal.confirm("c");
    const std::string whole = journal.fold().checkpoint();
    for (std::size_t split = 0; split <= journal.records.size(); ++split) {
        ConfigurationFold fold;
        ASSERT_TRUE(fold.restore(journal.fold(split).checkpoint(), split));
        for (std::size_t i = split; i < journal.records.size(); ++i) {
            fold.apply(journal.records[i]);
        }
        EXPECT_EQ(fold.checkpoint(), whole) << split;
    }
}

TEST(ConfigurationFold, neverFallsBackToAnOlderCheckpoint)
{
    Journal journal;
    journal.intent("a", 0, ModelM);
    const std::string old = journal.fold().checkpoint();
    journal.confirm("a");
    ConfigurationFold fold = journal.fold();
    EXPECT_EQ(fold.restore(old, 1).error().code, ErrorCode::Conflict);
    EXPECT_EQ(fold.restore(old, 9).error().code, ErrorCode::Conflict);
    EXPECT_FALSE(fold.restore("{", 9));
    EXPECT_EQ(fold.checkpoint(), journal.fold().checkpoint());
}

TEST(ConfigurationFold, keepsABoundedNumberOfOutcomes)
{
    Journal journal;
    for (std::size_t i = 0; i <= ConfigurationFold::MaxPlans; ++i) {
        journal.intent("i" + std::to_string(i), 0, ModelM);
    }
    const ConfigurationFold fold = journal.fold();
    EXPECT_EQ(fold.plans().size(), ConfigurationFold::MaxPlans);
    EXPECT_EQ(fold.findIntent(IntentId("i0")), nullptr);
    EXPECT_NE(fold.findIntent(IntentId("i1")), nullptr);
}

} // namespace
} // namespace bergamot
