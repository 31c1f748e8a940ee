#include "bergamot/standins/weight_store_core.h"

#include <gtest/gtest.h>

namespace bergamot
{
namespace
{

using namespace std::chrono_literals;

const TimePoint Start{1h};
const ModelId Model{"order-agent"};

TEST(WeightStoreCore, publishesRisingVersionsOnly)
{
    WeightStoreCore store({.concurrentFetches = 3});
    EXPECT_EQ(store.published(Model, Start).result, (PublishedWeights{0, 3}));
    ASSERT_TRUE(store.publish(Model, 2));
    EXPECT_EQ(store.publish(Model, 2).error().code, ErrorCode::Conflict);
    EXPECT_EQ(store.publish(Model, 1).error().code, ErrorCode::Conflict);
    EXPECT_EQ(store.published(Model, Start).result, (PublishedWeights{2, 3}));
}

TEST(WeightStoreCore, servesOnlySoManyFetchesAtOnce)
{
    WeightStoreCore store({.concurrentFetches = 2, .fetchTime = 3s});
    ASSERT_TRUE(store.publish(Model, 1));
    EXPECT_EQ(store.beginFetch("e1", Model, 1, Start), Duration(3s));
    EXPECT_TRUE(store.beginFetch("e2", Model, 1, Start));
    EXPECT_EQ(store.beginFetch("e3", Model, 1, Start).error().code, ErrorCode::Overloaded);
    EXPECT_EQ(store.fetchesRefused(), 1U);
    store.endFetch("e1");
    EXPECT_TRUE(store.beginFetch("e3", Model, 1, Start));
    EXPECT_EQ(store.fetching(), 2U);
}

TEST(WeightStoreCore, hasOnlyWhatIsPublished)
{
    WeightStoreCore store;
    ASSERT_TRUE(store.publish(Model, 3));
    EXPECT_EQ(store.beginFetch("e1", Model, 4, Start).error().code, ErrorCode::NotFound);
    EXPECT_EQ(store.beginFetch("e1", ModelId("other"), 1, Start).error().code, ErrorCode::NotFound);
    EXPECT_TRUE(store.beginFetch("e1", Model, 2, Start));
}

TEST(WeightStoreCore, limitsQuestionsASecond)
{
    WeightStoreCore store({.questionsPerSecond = 2});
    EXPECT_TRUE(store.published(Model, Start).result);
    EXPECT_TRUE(store.published(Model, Start).result);
    EXPECT_EQ(store.published(Model, Start).result.error().code, ErrorCode::Overloaded);
    EXPECT_TRUE(store.published(Model, Start + 500ms).result);
}

} // namespace
} // namespace bergamot
