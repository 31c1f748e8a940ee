#include "bergamot/net/message.h"

#include <gtest/gtest.h>

namespace bergamot::net
{
namespace
{

struct HopByHopCase
{
    const char *name;
    const char *field;
    const char *value;
    bool kept;
};

class HopByHopFieldsTest : public testing::TestWithParam<HopByHopCase>
{ };

TEST_P(HopByHopFieldsTest, RemovesHopByHopFields)
{
    HeaderFields headers;
    headers.add("Connection", "keep-alive, X-Private");
    headers.add(GetParam().field, GetParam().value);
    EXPECT_EQ(withoutHopByHopFields(headers).has(GetParam().field), GetParam().kept);
}

INSTANTIATE_TEST_SUITE_P(Fields,
                         HopByHopFieldsTest,
                         testing::Values(HopByHopCase{"Host", "Host", "a.example", true},
                                         HopByHopCase{"Framing", "transfer-encoding", "chunked", false},
                                         HopByHopCase{"Length", "Content-Length", "5", false},
                                         HopByHopCase{"KeepAlive", "Keep-Alive", "timeout=5", false},
                                         HopByHopCase{"NamedByConnection", "x-private", "1", false},
                                         HopByHopCase{"Other", "X-Public", "1", true}),
                         [](const auto &test) {
                             return test.param.name;
                         });

struct QueryCase
{
    const char *name;
    const char *target;
    std::optional<std::string_view> value;
};

class QueryTest : public testing::TestWithParam<QueryCase>
{ };

TEST_P(QueryTest, ParametersAreFoundByName)
{
    Request request;
    request.target = GetParam().target;
    EXPECT_EQ(request.query("after"), GetParam().value);
}

INSTANTIATE_TEST_SUITE_P(Targets,
                         QueryTest,
                         testing::Values(QueryCase{"Only", "/a?after=3", "3"},
                                         QueryCase{"Second", "/a?x=1&after=4", "4"},
                                         QueryCase{"Empty", "/a?after", ""},
                                         QueryCase{"OtherName", "/a?afterwards=4", std::nullopt},
                                         QueryCase{"None", "/a", std::nullopt}),
                         [](const auto &test) {
                             return test.param.name;
                         });

struct EscapeCase
{
    const char *name;
    const char *text;
    const char *decoded;
};

class PercentTest : public testing::TestWithParam<EscapeCase>
{ };

TEST_P(PercentTest, OnlyCompleteEscapesAreDecoded)
{
    EXPECT_EQ(percentDecoded(GetParam().text), GetParam().decoded);
}

INSTANTIATE_TEST_SUITE_P(Texts,
                         PercentTest,
                         testing::Values(EscapeCase{"Plain", "a-b.c", "a-b.c"},
                                         EscapeCase{"Slash", "version%2Fm", "version/m"},
                                         EscapeCase{"AtTheEnd", "a%2F", "a/"},
                                         EscapeCase{"CutOff", "a%2", "a%2"},
                                         EscapeCase{"NoDigits", "a%zz", "a%zz"}),
                         [](const auto &test) {
                             return test.param.name;
                         });

} // namespace
} // namespace bergamot::net
