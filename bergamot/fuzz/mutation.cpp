#include "bergamot/fuzz/mutation.h"

#include <array>
#include <limits>
#include <vector>

#include "bergamot/base/json.h"

namespace bergamot
{

namespace
{

using web::json::value;
using Random = std::mt19937_64;

constexpr std::size_t MostInserted = 32;
constexpr std::size_t LongText = 10'000;
constexpr std::size_t DeepNesting = 100; // below what the parser allows

std::size_t below(std::size_t bound, Random &random)
{
    return bound == 0 ? 0 : static_cast<std::size_t>(random() % bound);
}

std::string flipBits(std::string text, Random &random)
{
    for (std::size_t flips = 1 + below(4, random); flips > 0 && !text.empty(); --flips) {
        char &byte = text[below(text.size(), random)];
        byte = static_cast<char>(byte ^ (1 << below(8, random)));
    }
    return text;
}

std::string cutOff(std::string text, Random &random)
{
    text.resize(below(text.size() + 1, random));
    return text;
}

std::string insertBytes(std::string text, Random &random)
{
    std::string bytes(1 + below(MostInserted, random), '\0');
    for (char &byte : bytes) {
        byte = static_cast<char>(random());
    }
    return text.insert(below(text.size() + 1, random), bytes);
}

std::string repeatPart(std::string text, Random &random)
{
    const std::size_t from = below(text.size() + 1, random);
    const std::string part = text.substr(from, below(text.size() - from + 1, random));
    return text.insert(below(text.size() + 1, random), part);
}

const value &oddValue(Random &random)
{
    static const std::vector<value> values = {
        value::null(),
        value(-1),
        value(1.5),
        value(1e300),
        value(std::numeric_limits<std::uint64_t>::max()),
        value(std::numeric_limits<std::int64_t>::min()),
        value(std::string()),
        value(std::string(LongText, 'x')),
        value(std::string("a/b?c=d%zz\r\n\0\xff", 14)),
        value(true),
        value::array(),
        value::object(),
        *parseJson(std::string(DeepNesting, '[') + std::string(DeepNesting, ']')),
    };
    return values[below(values.size(), random)];
}

/// Replaces one value somewhere in `json`, or leaves out one field.
void distort(value &json, Random &random)
{
    const bool nested = below(4, random) != 0;
    if (nested && json.is_object() && json.size() > 0) {
        const auto field = json.as_object().begin() + static_cast<std::ptrdiff_t>(below(json.size(), random));
        if (below(8, random) == 0) {
            const std::string name = field->first;
            json.erase(name);
            return;
        }
        distort(field->second, random);
        return;
    }
    if (nested && json.is_array() && json.size() > 0) {
        distort(json[below(json.size(), random)], random);
        return;
    }
    json = oddValue(random);
}

std::string distortJson(std::string text, Random &random)
{
    const std::size_t first = text.find('{'); // what stands before the JSON stays as it is
    Result<value> json = first == std::string::npos ? Result<value>(failure(ErrorCode::InvalidArgument, "no JSON"))
                                                    : parseJson(std::string_view(text).substr(first));
    if (!json) {
        return flipBits(std::move(text), random);
    }
    distort(*json, random);
    return text.substr(0, first) + json->serialize();
}

using Mutation = std::string (*)(std::string text, Random &random);
constexpr std::array<Mutation, 8> Mutations{
    flipBits, cutOff, insertBytes, repeatPart, distortJson, distortJson, distortJson, distortJson};

} // namespace

std::string mutate(std::string_view valid, std::mt19937_64 &random)
{
    std::string text(valid);
    for (std::size_t changes = 1 + below(3, random); changes > 0; --changes) {
        text = Mutations[below(Mutations.size(), random)](std::move(text), random);
    }
    return text;
}

} // namespace bergamot
