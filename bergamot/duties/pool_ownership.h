#pragma once

// Who owns the engine pool: a fold over the batch log, and the rules of claiming, renewing and handing over. The owner
// alone gives work and orders to the engines. The store fences its writes: each claim raises the producer's epoch, so
// a paused predecessor can write nothing once a successor's claim is in the log.
//
//     PoolOwnership ownership("node-1", options, seed);
//     ownership.applyClaim("node-1", 7, offset, now);
//     if (ownership.shouldClaim(now)) { ... append a claim at the log's end, with epoch() + 1 ... }
//
// Load pattern: the owner is killed, frozen, cut from the store or replaced while a step is under way. Every instance
// follows the log, so the owner's silence is seen by all at the same time; a random delay and the conditional append
// leave one successor.

#include <cstdint>
#include <map>
#include <random>
#include <string>

#include "bergamot/base/clock.h"

namespace bergamot::duties
{

struct PoolOwnershipOptions
{
    Duration renewEvery = std::chrono::milliseconds(400); // the owner writes at least this often
    Duration lapsesAfter = std::chrono::milliseconds(1600); // silence of four renewals
    Duration claimSpread = std::chrono::milliseconds(300); // random delay that keeps claims apart
    Duration startDelay = std::chrono::milliseconds(150); // no claim before others had time to start and read the log
    Duration handicap{}; // added by an instance that is less fit to own the pool
    Duration orderLease = std::chrono::milliseconds(3300); // orders of two holders to one engine stay this far apart
};

class PoolOwnership
{
public:
    PoolOwnership(std::string instance, PoolOwnershipOptions options, std::uint64_t seed);

    // The log, in order.
    void applyClaim(const std::string &instance, std::uint64_t epoch, TimePoint now);
    void applyRenewal(std::uint64_t epoch, TimePoint now); // any record that only the owner writes
    void applyRelease(std::uint64_t epoch, TimePoint now);
    void applyLoadIntent(std::uint64_t epoch, const std::string &engine, TimePoint now);
    /// The log could not be read for a while: an owner's silence during it says nothing.
    void logReturned(TimePoint now);
    /// The store said that another writer has a higher epoch.
    void fenced();
    /// From now on this instance claims nothing.
    void retire();

    bool owns() const;
    std::uint64_t epoch() const;
    const std::string &owner() const;
    /// Whether to claim now. Call it with the log read to its end.
    bool shouldClaim(TimePoint now) const;
    /// Whether the owner has to write a renewal, if nothing else was written since `lastWrite`.
    bool shouldRenew(TimePoint lastWrite, TimePoint now) const;
    /// Whether an order to `engine` cannot take turns with one of an earlier owner.
    bool mayOrder(const std::string &engine, TimePoint now) const;

private:
    struct OrderSeen
    {
        std::uint64_t epoch = 0;
        TimePoint at{};
    };

    void drawClaimTime(TimePoint now, Duration wait);

    std::string m_instance;
    PoolOwnershipOptions m_options;
    std::mt19937_64 m_random;
    std::string m_owner; // empty: nobody
    std::uint64_t m_epoch = 0; // highest seen
    TimePoint m_claimAt{};
    std::map<std::string, OrderSeen> m_orders; // newest order of each engine
    bool m_fenced = false;
    bool m_retired = false;
};

} // namespace bergamot::duties
