#pragma once

// Limits the memory that one instance holds for its trainers: submitted prompts and finished texts that the trainers
// have not confirmed. Half of the limit is shared; the other half is split evenly among the trainers, so that a trainer
// that never draws cannot use up the memory of the others.
//
//     HeldBytesLimit limit(64 << 20);
//     if (limit.remaining({.total = total, .ofTrainer = ofTrainer, .trainers = 3}) < bytes) { ... reject or wait ... }

#include <cstddef>

namespace bergamot
{

/// Bytes held now plus those expected from generations in flight.
struct HeldBytes
{
    std::size_t total = 0;
    std::size_t ofTrainer = 0; // bytes held for one trainer; included in `total`
    std::size_t trainers = 1; // number of trainers that share the instance
};

class HeldBytesLimit
{
public:
    explicit HeldBytesLimit(std::size_t maxBytes)
        : m_maxBytes(maxBytes)
    { }

    /// Bytes that may still be added for the trainer. If every addition respects this value, `total` never exceeds the
    /// limit as long as the number of trainers does not change.
    std::size_t remaining(const HeldBytes &held) const;

private:
    std::size_t m_maxBytes;
};

} // namespace bergamot
