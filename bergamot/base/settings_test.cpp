#include "bergamot/base/settings.h"

#include <gtest/gtest.h>

namespace bergamot
{
namespace
{

struct SettingsCase
{
    std::vector<const char *> arguments;
    std::optional<int> exitCode;
    std::vector<std::string> errors;
};

class ParseSettings : public testing::TestWithParam<SettingsCase>
{ };

TEST_P(ParseSettings, returnsTheExitCodeAndPrintsAllErrors)
{
    SettingsParser parser("program", "Does something.");
    parser.require("instance", "Name of this instance.");
    parser.optional("listen-address", "127.0.0.1:80", "Where to listen.", checkAddress);
    parser.optional("limit", "5", "How many.", checkUnsigned);
    std::vector<const char *> arguments = {"program"};
    arguments.insert(arguments.end(), GetParam().arguments.begin(), GetParam().arguments.end());
    testing::internal::CaptureStderr();
    testing::internal::CaptureStdout();
    const SettingsOutcome outcome = parser.parse(static_cast<int>(arguments.size()), arguments.data());
    testing::internal::GetCapturedStdout();
    const std::string printed = testing::internal::GetCapturedStderr();
    EXPECT_EQ(outcome.exitCode, GetParam().exitCode);
    for (const std::string &error : GetParam().errors) {
        EXPECT_NE(printed.find(error), std::string::npos) << printed;
    }
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    ParseSettings,
    testing::Values(SettingsCase{{"--instance", "a"}, std::nullopt, {}},
                    SettingsCase{{"--help"}, 0, {}},
                    SettingsCase{{"--version"}, 0, {}},
                    SettingsCase{{"--instance", "a", "--check-settings"}, 0, {}},
                    SettingsCase{{"--limit", "x", "--listen-address", "y"},
                                 2,
                                 {"--instance (BERGAMOT_INSTANCE) is required", "'x' is not a whole", "'y' is not"}},
                    SettingsCase{{"--unheard-of", "1"}, 2, {"unheard-of"}}));

TEST(SettingsParser, readsFlagsAndPositionalArguments)
{
    SettingsParser parser("program", "Does something.");
    parser.flag("wait", "Wait.");
    parser.flag("quiet", "Say nothing.");
    parser.positional("words", "What to do.");
    const std::vector<const char *> arguments = {"program", "--wait", "status", "now"};
    EXPECT_EQ(parser.parse(static_cast<int>(arguments.size()), arguments.data()).exitCode, std::nullopt);
    EXPECT_TRUE(parser.isSet("wait"));
    EXPECT_FALSE(parser.isSet("quiet"));
    EXPECT_EQ(parser.words("words"), (std::vector<std::string>{"status", "now"}));
}

} // namespace
} // namespace bergamot
