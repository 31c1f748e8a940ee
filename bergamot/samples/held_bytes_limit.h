#pragma once

// How much one owner may hold for its trainers: prompts that were handed in and texts that wait to be drawn. Half of
// the bound is anyone's; the other half is split evenly, so that a trainer that never draws leaves the others their
// part.
//
//     HoldingLimit limit(64 << 20);
//     if (limit.room({.all = heldByAll, .own = heldForTrainer, .trainers = 3}) < bytes) { ... refuse or wait ... }

#include <cstddef>

namespace bergamot
{

/// Bytes held now, with what is under way.
struct Holding
{
    std::size_t all = 0;
    std::size_t own = 0; // of one trainer; a part of `all`
    std::size_t trainers = 1; // that share the instance
};

class HoldingLimit
{
public:
    explicit HoldingLimit(std::size_t maxBytes)
        : m_maxBytes(maxBytes)
    { }

    /// Bytes that may be added for the trainer. If every addition keeps to it, `all` never exceeds the bound while the
    /// number of trainers stays.
    std::size_t room(const Holding &holding) const;

private:
    std::size_t m_maxBytes;
};

} // namespace bergamot
