#include "bergamot/config/configuration.h"

#include <gtest/gtest.h>

#include "bergamot/base/json.h"

namespace bergamot
{
namespace
{

constexpr std::string_view ValidConfiguration = R"({
    "version": 4, "offset": 17, "domains": ["north", "east"],
    "models": {"desk": {"version": 3, "capacity_floor_percent": 66, "engines_check_fencing": false}},
    "trainers": {"quotes": {"model": "desk", "share_percent": 60, "staleness_bound": 2, "spare_percent": 5,
                            "strategy": "staleness", "scoring": "127.0.0.1:80"}},
    "services": {"stock": {"repeatable_paths": ["/prices"], "timeout_ms": 900}}})";

TEST(ParseConfiguration, parsesTheOutputOfToJson)
{
    const Result<Configuration> read = parseConfiguration(*parseJson(ValidConfiguration));
    ASSERT_TRUE(read) << read.error().message;
    EXPECT_EQ(read->domains, (std::vector<FailureDomainId>{FailureDomainId("east"), FailureDomainId("north")}));
    EXPECT_EQ(read->trainers.at(TrainerId("quotes")).strategy, SampleStrategy::Staleness);
    EXPECT_EQ(parseConfiguration(toJson(*read)), *read);
    EXPECT_EQ(toJson(*read).serialize(), toJson(*parseConfiguration(toJson(*read))).serialize());
}

struct BadCase
{
    std::string_view json;
    std::vector<std::string> errors; // substrings that the message must contain
};

class BadConfiguration : public testing::TestWithParam<BadCase>
{ };

TEST_P(BadConfiguration, reportsEveryInvalidFieldAndItsCorrection)
{
    const Result<Configuration> read = parseConfiguration(*parseJson(GetParam().json));
    ASSERT_FALSE(read);
    EXPECT_EQ(read.error().code, ErrorCode::InvalidArgument);
    for (const std::string &error : GetParam().errors) {
        EXPECT_NE(read.error().message.find(error), std::string::npos) << read.error().message;
    }
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    BadConfiguration,
    testing::Values(
        BadCase{R"([])", {"configuration must be a JSON object"}},
        BadCase{R"({"model": {}})", {"configuration.model is not known; use one of: version"}},
        BadCase{R"({"domains": ["a", "a"]})", {"name each failure domain once"}},
        BadCase{R"({"domains": [1]})", {"non-empty names"}},
        BadCase{R"({"models": {"m": {"versoin": 1, "capacity_floor_percent": 101}, "n": {"version": -1}}})",
                {"models.m.versoin is not known", "m.capacity_floor_percent must be from 0", "n.version must be"}},
        BadCase{R"({"models": {"m": {"capacity_floor_percent": 100}}})", {"no engine could ever be swapped"}},
        BadCase{R"({"trainers": {"t": {"strategy": "fast", "scoring": "host"}}})",
                {"t.model must be", "t.strategy must be idle_time or staleness", "t.scoring must be IP:PORT"}},
        BadCase{R"({"services": {"s": {"repeatable_paths": ["x"], "timeout_ms": 0}}, "trainers": {"t": 1}})",
                {"begin with /", "timeout_ms must be from 1", "trainers.t must be a JSON object"}}));

TEST(ConfigurationProblems, reportsUndeclaredModelsAndSharesOver100Percent)
{
    Configuration configuration = *parseConfiguration(*parseJson(ValidConfiguration));
    EXPECT_TRUE(configurationProblems(configuration).empty());
    TrainerConfig second = configuration.trainers.at(TrainerId("quotes"));
    configuration.trainers[TrainerId("second")] = second;
    second.model = ModelId("other");
    configuration.trainers[TrainerId("third")] = second;
    const std::vector<std::string> problems = configurationProblems(configuration);
    ASSERT_EQ(problems.size(), 2U);
    EXPECT_NE(problems[0].find("'other', which is no model"), std::string::npos);
    EXPECT_NE(problems[1].find("promised 120%"), std::string::npos);
}

} // namespace
} // namespace bergamot
