#include "bergamot/base/json.h"

#include <gtest/gtest.h>

namespace bergamot
{
namespace
{

struct FieldCase
{
    std::string body;
    std::vector<std::string> errors; // substrings that the error message must contain; empty means success
};

class ReadFields : public testing::TestWithParam<FieldCase>
{ };

TEST_P(ReadFields, reportsEveryErrorAtOnce)
{
    const Result<web::json::value> body = parseJson(GetParam().body);
    ASSERT_TRUE(body);
    FieldReader reader(*body, "intent");
    reader.requiredString("id");
    reader.optionalUnsigned("bound", 1);
    reader.optionalBool("fencing", false);
    const Result<void> read = reader.finish();
    ASSERT_EQ(read.has_value(), GetParam().errors.empty());
    for (const std::string &error : GetParam().errors) {
        EXPECT_NE(read.error().message.find(error), std::string::npos) << read.error().message;
    }
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    ReadFields,
    testing::Values(FieldCase{R"({"id":"a","bound":2,"fencing":true})", {}},
                    FieldCase{R"({"id":"a"})", {}},
                    FieldCase{R"({})", {"intent.id must be a non-empty string"}},
                    FieldCase{R"({"id":"","bound":-1})", {"intent.id", "intent.bound must be a whole number"}},
                    FieldCase{R"({"id":7,"bound":1.5,"fencing":"yes"})",
                              {"intent.id", "intent.bound", "intent.fencing must be true or false"}},
                    FieldCase{R"([1])", {"intent must be a JSON object"}}));

TEST(ParseJson, refusesInvalidJson)
{
    for (const std::string text : {"", "{", "{\"a\":}", "nul"}) {
        EXPECT_FALSE(parseJson(text)) << text;
    }
}

TEST(ParseJson, refusesNestingThatWouldExhaustTheStack)
{
    constexpr std::size_t Depth = 100000;
    EXPECT_FALSE(parseJson(std::string(Depth, '[')));
}

} // namespace
} // namespace bergamot
