#pragma once

// Claims and renews the leases of this process: the I/O layer around `LeaseDecision`, with a clock and an appender.
//
//     LeaseKeeper keeper({.holder = "instance-3", .incarnation = incarnation}, loop, clock, appender, fold);
//     keeper.acquire(DutyId("rollout/desk/north"));
//     if (const auto number = keeper.fencing(duty, clock.now())) {
//         engines.order(engine, {.fencing = *number, ...}, ...);
//     }

#include <memory>

#include "bergamot/base/clock.h"
#include "bergamot/base/event_loop.h"
#include "bergamot/journal/appender.h"
#include "bergamot/leases/lease_decision.h"

namespace bergamot
{

/// Confined to the thread of the loop.
class LeaseKeeper
{
public:
    /// `options.holder` and `options.incarnation` must equal the appender's writer and incarnation. All references must
    /// outlive the keeper.
    LeaseKeeper(LeaseOptions options, EventLoop &loop, Clock &clock, Appender &appender, const LeaseFold &fold);
    ~LeaseKeeper();
    LeaseKeeper(const LeaseKeeper &) = delete;
    LeaseKeeper &operator=(const LeaseKeeper &) = delete;

    /// Claims the duty as soon as it is free and renews its lease until `relinquish`.
    void acquire(const DutyId &duty);
    /// Stops acting on the duty immediately and releases it after `LeaseOptions::deliveryTime`.
    void relinquish(const DutyId &duty);
    /// Calls `relinquish` for every acquired duty.
    void giveBackAll();
    /// True if no duty in the fold is held by this process.
    bool allHandedBack() const;

    /// Call after the fold has applied records.
    void onApplied();
    /// Appends the next claim or release if one is due; call it periodically.
    void tick();

    /// True while this process may act on the duty. Check it before each action and again when the answer arrives.
    bool holds(const DutyId &duty, TimePoint now) const;
    /// The duty's fencing number, or nullopt if `holds` is false.
    std::optional<FencingNumber> fencing(const DutyId &duty, TimePoint now) const;

private:
    EventLoop &m_loop;
    Clock &m_clock;
    Appender &m_appender;
    const LeaseFold &m_fold;
    LeaseDecision m_decision;
    std::shared_ptr<LeaseKeeper *> m_self; // set to null by the destructor, so that pending callbacks do nothing
};

} // namespace bergamot
