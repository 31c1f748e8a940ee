#pragma once

// Which of several endpoints gets a request. A strategy sees candidates by index only: whether one has room now and
// what a request would cost there.
//
//     SampledChoice strategy;
//     std::optional<std::size_t> chosen = strategy.choose(candidates, random);

#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <string_view>
#include <vector>

#include "bergamot/base/ids.h"

namespace bergamot
{

class Candidates
{
public:
    virtual ~Candidates() = default;
    virtual std::size_t size() const = 0;
    virtual bool hasRoom(std::size_t index) const = 0;
    /// Lower is better.
    virtual double cost(std::size_t index) const = 0;
    /// A number that stands for the endpoint on every instance.
    virtual std::uint64_t identity(std::size_t index) const = 0;
};

/// Not thread-safe.
class ChoiceStrategy
{
public:
    virtual ~ChoiceStrategy() = default;
    /// A candidate with room, or none.
    virtual std::optional<std::size_t> choose(const Candidates &candidates, std::mt19937_64 &random) = 0;
};

/// The cheapest of a sample: of all if they are few, else of two at random. If neither of the two has room, the first
/// with room after a random place.
class SampledChoice final : public ChoiceStrategy
{
public:
    std::optional<std::size_t> choose(const Candidates &candidates, std::mt19937_64 &random) override;
};

/// Consistent hashing with bounded load: the candidate that ranks highest for `prefix` among those with room whose
/// cost is at most `ceiling`. Requests with the same beginning meet the same cache
/// until its endpoint has more than its share.
std::optional<std::size_t> choosePrefixOwner(const Candidates &candidates, std::uint64_t prefix, double ceiling);

/// The `most` names that rank highest for `node` by rendezvous hashing, as sorted positions in `names`: each node gets
/// its own subset, and a change of one name moves at most one place in each.
std::vector<std::size_t>
rendezvousSubset(std::string_view node, std::span<const std::string_view> names, std::size_t most);

} // namespace bergamot
