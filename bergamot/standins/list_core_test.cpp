#include "bergamot/standins/list_core.h"

#include <gtest/gtest.h>

namespace bergamot
{
namespace
{

using namespace std::chrono_literals;

const TimePoint Start{1h};

ListedMember engine(const std::string &id)
{
    return {ListedKind::Engine, id, FailureDomainId("a"), {"127.0.0.1", 7100}, ListedState::Live, "order-agent"};
}

TEST(ListCore, showsEachChangeOnlyAfterTheLag)
{
    ListCore list(2s);
    list.put(engine("e1"), Start);
    EXPECT_TRUE(list.fetch(Start + 1s).result.value().empty());
    EXPECT_EQ(list.fetch(Start + 2s).result.value(), std::vector{engine("e1")});

    ASSERT_TRUE(list.setState("e1", ListedState::Leaving, Start + 10s));
    EXPECT_EQ(list.fetch(Start + 11s).result.value().front().state, ListedState::Live);
    EXPECT_EQ(list.fetch(Start + 12s).result.value().front().state, ListedState::Leaving);

    list.remove("e1", Start + 20s);
    EXPECT_EQ(list.fetch(Start + 21s).result.value().size(), 1U);
    EXPECT_TRUE(list.fetch(Start + 22s).result.value().empty());
}

TEST(ListCore, refusesTheStateOfAStranger)
{
    ListCore list;
    EXPECT_EQ(list.setState("e1", ListedState::Leaving, Start).error().code, ErrorCode::NotFound);
}

TEST(ListCore, isOutWhenToldSo)
{
    ListCore list;
    list.put(engine("e1"), Start);
    ASSERT_TRUE(list.apply({.fault = "out"}));
    EXPECT_EQ(list.fetch(Start).result.error().code, ErrorCode::Unavailable);
    ASSERT_TRUE(list.apply({.fault = "out", .count = 0}));
    EXPECT_EQ(list.fetch(Start).result.value().size(), 1U);
}

} // namespace
} // namespace bergamot
