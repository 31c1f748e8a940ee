#include "bergamot/quota/quota_messages.h"

#include <limits>

#include <gtest/gtest.h>

namespace bergamot::quota
{
namespace
{

using namespace std::chrono_literals;

const TokenAsk Ask{.endpoints = {{.process = {EndpointId("d1"), 4}, .perSecond = 3.5},
                                 {.process = {EndpointId("d2"), 0}, .perSecond = 2}},
                   .wanted = {7, 120}};

TEST(QuotaMessages, AnAskSurvives)
{
    const Result<TokenAsk> parsed = parseAsk(askMessage(Ask));
    ASSERT_TRUE(parsed);
    EXPECT_EQ(parsed->endpoints, Ask.endpoints);
    EXPECT_EQ(parsed->wanted, Ask.wanted);
}

TEST(QuotaMessages, AGrantSurvives)
{
    const TokenGrant grant{.granted = {{.process = {EndpointId("d1"), 4}, .tokens = 2}},
                           .returns = {ReturnTimes{250ms, 125ms}, ReturnTimes{1s, 2s}}};
    const Result<TokenGrant> parsed = parseGrant(grantMessage(grant));
    ASSERT_TRUE(parsed);
    EXPECT_EQ(parsed->granted, grant.granted);
    EXPECT_EQ(parsed->returns[1].first, 1s);
    EXPECT_EQ(parsed->returns[0].spacing, 125ms);
}

struct DamageCase
{
    const char *name;
    std::string bytes;
};

class DamagedMessages : public testing::TestWithParam<DamageCase>
{ };

TEST_P(DamagedMessages, AreRejected)
{
    EXPECT_FALSE(parseAsk(GetParam().bytes));
    EXPECT_FALSE(parseGrant(GetParam().bytes));
}

std::string askWithLimit(double perSecond)
{
    TokenAsk ask = Ask;
    ask.endpoints.front().perSecond = perSecond;
    return askMessage(ask);
}

INSTANTIATE_TEST_SUITE_P(
    Damages,
    DamagedMessages,
    testing::Values(DamageCase{"Empty", ""},
                    DamageCase{"Text", "GET / HTTP/1.1"},
                    DamageCase{"Truncated", askMessage(Ask).substr(0, 40)},
                    DamageCase{"NegativeLimit", askWithLimit(-1)},
                    DamageCase{"InfiniteLimit", askWithLimit(std::numeric_limits<double>::infinity())},
                    DamageCase{"NoNumber", askWithLimit(std::numeric_limits<double>::quiet_NaN())}),
    [](const auto &test) {
        return test.param.name;
    });

TEST(QuotaMessages, LargeFiguresAreCutDown)
{
    TokenAsk ask = Ask;
    ask.wanted = {std::numeric_limits<std::uint32_t>::max(), 1};
    EXPECT_LE(parseAsk(askMessage(ask))->wanted[0], 10000U);
    const TokenGrant grant{.granted = {{.process = {EndpointId("d1"), 4}, .tokens = 4'000'000'000U}}, .returns = {}};
    EXPECT_LE(parseGrant(grantMessage(grant))->granted[0].tokens, 10000U);
}

} // namespace
} // namespace bergamot::quota
