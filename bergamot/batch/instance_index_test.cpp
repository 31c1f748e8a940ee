#include "bergamot/batch/instance_index.h"

#include <gtest/gtest.h>

namespace bergamot::batch
{
namespace
{

using namespace std::chrono_literals;

constexpr TimePoint Start{1h};

Instance instance(const std::string &name, bool reaches = true, bool stopping = false)
{
    return {.name = name, .zone = "a", .address = "10.0.0.1:" + name, .reaches = reaches, .stopping = stopping};
}

TEST(InstanceIndexTest, TheNewestRecordOfAnInstanceCounts)
{
    InstanceIndex index;
    index.apply(instance("n1"), Start);
    index.apply(instance("n2"), Start);
    index.apply(instance("n1", false), Start + 1s);
    EXPECT_FALSE(index.instances().at("n1").reaches);
    EXPECT_TRUE(index.instances().at("n2").reaches);
    index.apply(instance("n2", true, true), Start + 2s);
    EXPECT_FALSE(index.instances().contains("n2"));
}

TEST(InstanceIndexTest, AProcessThatStartedAgainReplacesTheOneBefore)
{
    InstanceIndex index;
    index.apply(instance("n1"), Start);
    Instance next = instance("n1-next");
    next.address = instance("n1").address;
    index.apply(next, Start + 1s);
    EXPECT_FALSE(index.instances().contains("n1"));
    EXPECT_TRUE(index.instances().contains("n1-next"));
}

TEST(InstanceIndexTest, ASilentInstanceIsForgottenButNotBecauseOfAnOutage)
{
    InstanceIndex index({.retention = 2min});
    index.apply(instance("n1"), Start);
    index.logRecovered(5min);
    index.expire(Start + 6min);
    EXPECT_TRUE(index.instances().contains("n1"));
    index.expire(Start + 8min);
    EXPECT_TRUE(index.instances().empty());
}

TEST(InstanceIndexTest, ASnapshotKeepsTheAges)
{
    InstanceIndex index({.retention = 2min});
    index.apply(instance("n1"), Start);
    InstanceIndex restored({.retention = 2min});
    restored.restore(index.state(Start + 90s), Start + 1h);
    EXPECT_EQ(restored.instances(), index.instances());
    restored.expire(Start + 1h + 31s);
    EXPECT_TRUE(restored.instances().empty());
}

} // namespace
} // namespace bergamot::batch
