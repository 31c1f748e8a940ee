#pragma once

// Determines which instance owns the engine pool, from the records of the batch log, and when to claim, renew and
// order. Only the owner sends runs and load orders to the engines. The store fences its writes: each claim raises the
// epoch of the producer, so a paused predecessor cannot append anything once the claim of a successor is in the log.
//
//     PoolOwnership ownership("node-1", options, seed);
//     ownership.applyClaim("node-1", 7, now);
//     if (ownership.shouldClaim(now)) { ... append a claim at the log's end, with epoch() + 1 ... }
//
// Load pattern: the owner is killed, paused, cut off from the store or replaced while a step is in progress. Every
// instance follows the log, so all of them detect the silence of the owner at the same time; a random delay and the
// conditional append make sure that only one of them succeeds it. A silent owner is asked directly whether it still
// runs: if its process is gone, nobody waits for the ownership to expire.

#include <cstdint>
#include <map>
#include <random>
#include <string>

#include "bergamot/base/clock.h"

namespace bergamot::duties
{

struct PoolOwnershipOptions
{
    Duration renewalInterval = std::chrono::milliseconds(400); // the owner writes at least this often
    Duration expiresAfter =
        std::chrono::milliseconds(1600); // time without a record of the owner: four renewal intervals
    Duration claimJitter = std::chrono::milliseconds(300); // longest random delay that keeps claims apart
    Duration startDelay = std::chrono::milliseconds(150); // before a claim: others need time to start and read the log
    Duration probeAfter = std::chrono::milliseconds(500); // time without a record of the owner until it is probed
    Duration pausedAfter = std::chrono::milliseconds(500); // a longer time between two ticks means a pause
    Duration extraClaimDelay{}; // extra claim delay of an instance that is less suited to own the pool
    Duration orderLease = std::chrono::milliseconds(3300); // minimum time between orders of two owners to one engine
};

/// What a snapshot keeps of the ownership.
struct PoolOwnershipState
{
    std::uint64_t epoch = 0;
    std::string owner;
    std::map<std::string, std::uint64_t> recentOrders; // epoch of the newest load order, by engine
};

/// Not thread-safe. Times are those at which this instance reads the records.
class PoolOwnership
{
public:
    PoolOwnership(std::string instance, PoolOwnershipOptions options, std::uint64_t seed);

    /// The state to keep in a snapshot; of the load orders, those that still delay another owner.
    PoolOwnershipState state(TimePoint now) const;
    /// Continues from a snapshot. The recent orders count as sent at `now`, so none is taken for older than it is.
    void restore(const PoolOwnershipState &state, TimePoint now);

    // Records of the log; call these in the order of the log.
    void applyClaim(const std::string &instance, std::uint64_t epoch, TimePoint now);
    /// For any record that only the owner writes. An epoch higher than any known claim means that the claim has expired
    /// from the log: somebody else owns the pool.
    void applyRenewal(std::uint64_t epoch, TimePoint now);
    void applyRelease(std::uint64_t epoch, TimePoint now);
    void applyLoadIntent(std::uint64_t epoch, const std::string &engine, TimePoint now);
    /// The log is available again after an outage. The silence of the owner during the outage does not count.
    void logRecovered(TimePoint now);
    /// The store refused an append because another writer has a higher epoch.
    void onFenced();
    /// The process of `instance` has ended, according to a probe of its address.
    void onOwnerGone(const std::string &instance, TimePoint now);
    /// The owner was probed; it is probed again after `probeAfter`.
    void onOwnerProbed(TimePoint now);
    /// The store refused a claim with `nextEpoch` because of a higher epoch that is not in the log any longer.
    void onClaimFenced();
    /// Call it before each decision. The records that were in the log at `confirmedAt` have been applied. After a pause
    /// of this process nothing is known of the owner until that time is behind the pause.
    void tick(TimePoint now, TimePoint confirmedAt);
    /// From now on this instance makes no claims.
    void stopClaiming();

    bool isOwner() const;
    /// The highest epoch in the log.
    std::uint64_t epoch() const;
    /// Epoch of this instance's next claim.
    std::uint64_t nextEpoch() const;
    /// The instance with the newest claim; empty if there is no claim or the owner has released the ownership.
    const std::string &owner() const;
    /// Whether to claim now. Call it only when the log has been read to its end.
    bool shouldClaim(TimePoint now) const;
    /// Whether to ask the owner's process whether it still runs. Call it only when the log has been read to its end.
    bool shouldProbeOwner(TimePoint now) const;
    /// Whether this instance is the owner and has to append a renewal; `lastWrite` is the time of its last append.
    bool shouldRenew(TimePoint lastWrite, TimePoint now) const;
    /// Whether this instance may order `engine` to load weights: no order of an earlier owner can still reach it.
    bool mayOrderLoad(const std::string &engine, TimePoint now) const;

private:
    struct LatestOrder
    {
        std::uint64_t epoch = 0;
        TimePoint at{};
    };

    /// Sets the earliest time of a claim: `now` plus `wait`, `extraClaimDelay` and a random delay.
    void scheduleClaim(TimePoint now, Duration wait);
    /// Sets the earliest time of a probe in the same way.
    void scheduleProbe(TimePoint now, Duration wait);
    Duration randomDelay();

    std::string m_instance;
    PoolOwnershipOptions m_options;
    std::mt19937_64 m_random;
    std::string m_owner; // empty: no owner
    std::uint64_t m_epoch = 0; // highest epoch in the log
    std::uint64_t m_epochStep = 1; // from the highest known epoch to that of the next claim
    TimePoint m_claimAt{}; // earliest time of the next claim; zero: not set
    TimePoint m_probeAt{}; // earliest time of the next probe of the owner; zero: not set
    std::map<std::string, LatestOrder> m_latestOrders; // newest load order by engine
    TimePoint m_tickedAt{};
    TimePoint m_resumedAt{}; // end of the last pause of this process
    bool m_viewBehindPause = false; // nothing was read since then
    bool m_fenced = false;
    bool m_claimingStopped = false;
};

} // namespace bergamot::duties
