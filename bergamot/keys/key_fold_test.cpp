#include "bergamot/keys/key_fold.h"

#include <gtest/gtest.h>

#include "bergamot/keys/key_placement.h"

namespace bergamot
{
namespace
{

using namespace std::chrono_literals;

struct Writer
{
    std::string name;
    std::chrono::milliseconds clock; // its running clock
    std::uint64_t sequence = 0;
};

class KeyFoldTest : public testing::Test
{
public:
    void claim(Writer &writer, const std::string &key, const std::string &id, const std::string &digest = "d")
    {
        inner::KeyClaimT claim;
        claim.key = key;
        claim.claim_id = id;
        claim.body_digest = digest;
        add(writer, KeyClaimKind, keyClaimPayload(claim, writer.clock));
    }

    void outcome(Writer &writer, const std::string &key, const std::string &id, bool ran, bool known)
    {
        inner::KeyOutcomeT outcome;
        outcome.key = key;
        outcome.claim_id = id;
        outcome.ran = ran;
        outcome.known = known;
        outcome.status = 200;
        outcome.content_type = "application/json";
        outcome.body = std::string("\0\xff{}", 4);
        add(writer, KeyOutcomeKind, keyOutcomePayload(outcome, writer.clock));
    }

    void add(Writer &writer, std::string_view kind, const std::string &payload)
    {
        log.push_back({log.size() + 1, {{writer.name, 1, ++writer.sequence}, std::string(kind), payload}});
        fold.apply(log.back());
    }

    std::string holder(const std::string &key) const
    {
        const KeyEntry *entry = fold.find(key);
        return entry == nullptr ? "" : entry->claimId;
    }

    std::vector<StoredRecord> log;
    KeyFold fold{{.window = 60s, .maxKeys = 3}};
    Writer a{"a", 5h};
    Writer b{"b", 10s};
};

TEST_F(KeyFoldTest, grantsTheFirstClaimInTheLogAndKeepsItsAnswer)
{
    claim(a, "k", "c1");
    claim(b, "k", "c2");
    outcome(b, "k", "c2", true, true);
    EXPECT_EQ(holder("k"), "c1");
    EXPECT_EQ(fold.find("k")->state, KeyState::Claimed);
    outcome(a, "k", "c1", true, true);
    outcome(a, "k", "c1", false, true); // too late
    EXPECT_EQ(fold.find("k")->state, KeyState::Finished);
    EXPECT_EQ(fold.find("k")->status, 200);
    EXPECT_EQ(fold.find("k")->body, std::string("\0\xff{}", 4));
}

TEST_F(KeyFoldTest, freesAKeyOnlyWhenItProvablyDidNotRun)
{
    claim(a, "k", "c1");
    outcome(a, "k", "c1", false, true);
    EXPECT_EQ(holder("k"), "");
    claim(b, "k", "c2");
    outcome(a, "k", "c1", false, true); // of the former claim
    EXPECT_EQ(holder("k"), "c2");
    outcome(b, "k", "c2", true, false);
    EXPECT_EQ(fold.find("k")->state, KeyState::Lost);
    claim(a, "k", "c3");
    EXPECT_EQ(holder("k"), "c2");
}

TEST_F(KeyFoldTest, dropsSecondCopies)
{
    claim(a, "k", "c1");
    outcome(a, "k", "c1", false, true);
    fold.apply({log.size() + 1, log[0].record});
    EXPECT_EQ(holder("k"), "");
}

TEST_F(KeyFoldTest, expiresKeysByItsOwnTimeWhateverClocksWritersHave)
{
    claim(a, "k", "c1");
    claim(b, "l", "c2"); // its clock stands hours lower
    b.clock += 60s;
    claim(b, "m", "c3");
    EXPECT_EQ(holder("k"), "c1");
    b.clock += 1ms;
    Writer late{"late", 90h}; // starts with a clock far ahead
    claim(late, "n", "c4");
    EXPECT_EQ(holder("n"), ""); // full
    EXPECT_EQ(holder("k"), "c1");
    claim(b, "n", "c5");
    EXPECT_EQ(holder("k"), "");
    EXPECT_EQ(holder("n"), "c5");
}

TEST_F(KeyFoldTest, leavesOutAnAnswerThatIsTooLarge)
{
    claim(a, "k", "c1");
    inner::KeyOutcomeT outcome;
    outcome.key = "k";
    outcome.claim_id = "c1";
    outcome.ran = true;
    outcome.known = true;
    outcome.status = 201;
    outcome.body = std::string(MaxKeptBodyBytes + 1, 'x');
    add(a, KeyOutcomeKind, keyOutcomePayload(outcome, a.clock));
    EXPECT_TRUE(fold.find("k")->bodyOmitted);
    EXPECT_EQ(fold.find("k")->status, 201);
    EXPECT_TRUE(fold.find("k")->body.empty());
}

TEST_F(KeyFoldTest, goesOnFromACheckpointAsIfItHadReadAll)
{
    claim(a, "k", "c1");
    claim(b, "l", "c2");
    outcome(a, "k", "c1", true, true);
    a.clock += 61s;
    claim(a, "m", "c3");
    add(b, "checkpoint", "{}");
    add(b, KeyClaimKind, "{");
    outcome(b, "m", "c3", true, false);
    for (std::size_t split = 0; split <= log.size(); ++split) {
        KeyFold first({.window = 60s, .maxKeys = 3});
        for (std::size_t i = 0; i < split; ++i) {
            first.apply(log[i]);
        }
        KeyFold second({.window = 60s, .maxKeys = 3});
        ASSERT_TRUE(second.restore(first.checkpoint(), split));
        for (std::size_t i = split; i < log.size(); ++i) {
            second.apply(log[i]);
        }
        EXPECT_EQ(second.checkpoint(), fold.checkpoint()) << split;
        EXPECT_EQ(second.restore(first.checkpoint(), log.size() - 1).error().code, ErrorCode::Conflict);
    }
}

TEST(KeyPlacement, isStableAndInsideTheGivenSets)
{
    const std::vector<FailureDomainId> domains{FailureDomainId("a"), FailureDomainId("b"), FailureDomainId("c")};
    std::map<FailureDomainId, int> counts;
    for (int i = 0; i < 300; ++i) {
        ++counts[*keyHome("key-" + std::to_string(i), domains)];
    }
    EXPECT_EQ(counts.size(), 3U);
    EXPECT_FALSE(keyHome("k", {}));
    EXPECT_EQ(keyHome("k", {domains[2], domains[0], domains[1]}), keyHome("k", domains));
    EXPECT_EQ(keyCommitter(domains[0], {InstanceId("one")}), InstanceId("one"));
    EXPECT_FALSE(keyCommitter(domains[0], {}));
}

} // namespace
} // namespace bergamot
