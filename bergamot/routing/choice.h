#pragma once

// Strategies that choose an endpoint for a request. A strategy addresses candidates by index and sees only whether a
// candidate has room and what a request would cost there.
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

/// The endpoints that a strategy may choose from.
class Candidates
{
public:
    virtual ~Candidates() = default;
    virtual std::size_t size() const = 0;
    virtual bool hasRoom(std::size_t index) const = 0;
    /// The relative cost of sending the request to the candidate; lower is better.
    virtual double cost(std::size_t index) const = 0;
    /// A hash of the endpoint's id, the same on every instance.
    virtual std::uint64_t identity(std::size_t index) const = 0;
};

/// Not thread-safe.
class ChoiceStrategy
{
public:
    virtual ~ChoiceStrategy() = default;
    /// The index of a candidate with room; none if no candidate has room.
    virtual std::optional<std::size_t> choose(const Candidates &candidates, std::mt19937_64 &random) = 0;
};

/// Chooses the cheapest of all candidates if they are few, else the cheaper of two random ones (power of two choices).
/// If neither of the two has room, chooses the first with room after a random index.
class SampledChoice final : public ChoiceStrategy
{
public:
    std::optional<std::size_t> choose(const Candidates &candidates, std::mt19937_64 &random) override;
};

/// Consistent hashing with bounded load: the candidate that ranks highest for `prefix` among those with room whose
/// cost is at most `ceiling`. Requests with the same prefix go to the same endpoint, and so hit the same cache, until
/// the cost of that endpoint exceeds `ceiling`.
std::optional<std::size_t> choosePrefixOwner(const Candidates &candidates, std::uint64_t prefix, double ceiling);

/// The `maxSize` names that rank highest for `node` by rendezvous hashing, as sorted indices into `names`. Each node
/// gets its own subset, and adding or removing one name changes at most one element of each subset.
std::vector<std::size_t>
rendezvousSubset(std::string_view node, std::span<const std::string_view> names, std::size_t maxSize);

} // namespace bergamot
