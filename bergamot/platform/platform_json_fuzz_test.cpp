// Seeded damage to answers: cut off, bytes changed, fields of the wrong type. Whatever comes, a client gets an error
// that names the place, or a value that reads back as itself.

#include <random>

#include <gtest/gtest.h>

#include "bergamot/base/json.h"
#include "bergamot/platform/platform_json.h"

namespace bergamot
{
namespace
{

using namespace std::chrono_literals;

constexpr int Rounds = 3'000;

enum class Verdict {
    Refused, // with a message that names the place
    Harmless, // taken in a way that writing and reading again reproduces
    Broken,
};

template<auto parse, auto write>
Verdict judge(const web::json::value &json)
{
    const auto parsed = parse(json, "answer");
    if (!parsed) {
        return parsed.error().message.find("answer") != std::string::npos ? Verdict::Refused : Verdict::Broken;
    }
    const web::json::value written = write(*parsed);
    const auto again = parse(written, "answer");
    return again && write(*again).serialize() == written.serialize() ? Verdict::Harmless : Verdict::Broken;
}

template<typename T>
web::json::value writeJson(const T &value)
{
    return toJson(value);
}

web::json::value scoreToJson(double score)
{
    web::json::value json = web::json::value::object();
    json["score"] = web::json::value(score);
    return json;
}

web::json::value handleToJson(const std::string &handle)
{
    web::json::value json = web::json::value::object();
    json["handle"] = web::json::value(handle);
    return json;
}

struct FuzzCase
{
    std::string name;
    web::json::value answer;
    Verdict (*judge)(const web::json::value &json);
};

LogPage page()
{
    const Record record{{"instance-1", 9, 1}, "intent", R"({"a":"ä"})"};
    return {{{4, record}, {5, record}}, 2, 9};
}

std::vector<ListedMember> members()
{
    return {{ListedKind::Engine, "e1", FailureDomainId("a"), {"127.0.0.1", 2}, ListedState::Live, "m"},
            {ListedKind::Instance, "i1", FailureDomainId("b"), {"127.0.0.1", 3}, ListedState::Leaving, ""}};
}

const web::json::value &oddValue(std::mt19937_64 &random)
{
    static const std::vector<web::json::value> values = {
        web::json::value::null(),
        web::json::value(-1),
        web::json::value(1.5),
        web::json::value(std::numeric_limits<std::uint64_t>::max()),
        web::json::value(std::string()),
        web::json::value(std::string(10'000, 'x')),
        web::json::value(true),
        web::json::value::array(),
        web::json::value::object(),
    };
    return values[random() % values.size()];
}

/// Replaces one value somewhere in `json` by an odd one.
void distort(web::json::value &json, std::mt19937_64 &random)
{
    const bool nested = random() % 2 == 0;
    if (nested && json.is_object() && json.size() > 0) {
        auto field = json.as_object().begin() + static_cast<std::ptrdiff_t>(random() % json.size());
        distort(field->second, random);
        return;
    }
    if (nested && json.is_array() && json.size() > 0) {
        distort(json[random() % json.size()], random);
        return;
    }
    json = oddValue(random);
}

class Damage : public testing::TestWithParam<FuzzCase>
{
protected:
    std::mt19937_64 m_random{20261203};
};

TEST_P(Damage, ofTheTextIsRefusedOrHarmless)
{
    const std::string whole = GetParam().answer.serialize();
    int refused = 0;
    for (int round = 0; round < Rounds; ++round) {
        std::string text = whole;
        const std::size_t changes = 1 + m_random() % 3;
        for (std::size_t change = 0; change < changes; ++change) {
            text[m_random() % text.size()] = static_cast<char>(m_random());
        }
        text.resize(round % 2 == 0 ? text.size() : m_random() % text.size());
        const Result<web::json::value> json = parseJson(text);
        const Verdict verdict = json ? GetParam().judge(*json) : Verdict::Refused;
        EXPECT_NE(verdict, Verdict::Broken) << text;
        refused += verdict == Verdict::Refused ? 1 : 0;
    }
    EXPECT_GE(refused, Rounds / 2) << "a text that was cut off is never taken";
}

TEST_P(Damage, ofOneValueIsRefusedOrHarmless)
{
    int refused = 0;
    for (int round = 0; round < Rounds; ++round) {
        web::json::value json = GetParam().answer;
        distort(json, m_random);
        const Verdict verdict = GetParam().judge(json);
        EXPECT_NE(verdict, Verdict::Broken) << json.serialize();
        refused += verdict == Verdict::Refused ? 1 : 0;
    }
    EXPECT_GT(refused, 0);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    Damage,
    testing::Values(FuzzCase{"offset", offsetToJson(7), judge<parseOffset, offsetToJson>},
                    FuzzCase{"page", toJson(page()), judge<parseLogPage, writeJson<LogPage>>},
                    FuzzCase{"members", toJson(members()), judge<parseMembers, writeJson<std::vector<ListedMember>>>},
                    FuzzCase{"published",
                             toJson(PublishedWeights{7, 4}),
                             judge<parsePublishedWeights, writeJson<PublishedWeights>>},
                    FuzzCase{"generation",
                             toJson(Generation{"text", {{1, 2}, {2, 1}}, "stop"}),
                             judge<parseGeneration, writeJson<Generation>>},
                    FuzzCase{"state",
                             toJson(EngineState{ModelId("m"), 3, 4, 5, 6, 8, 700ms, true, 2}),
                             judge<parseEngineState, writeJson<EngineState>>},
                    FuzzCase{"handle", handleToJson("kv:1"), judge<parseHandle, handleToJson>},
                    FuzzCase{"score", scoreToJson(0.5), judge<parseScore, scoreToJson>}),
    [](const testing::TestParamInfo<FuzzCase> &test) {
        return test.param.name;
    });

} // namespace
} // namespace bergamot
