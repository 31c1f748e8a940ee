#pragma once

// Keeps this process's leases through the log: a `LeaseDecision` with a clock and an appender.
//
//     LeaseKeeper keeper({.holder = "instance-3", .incarnation = incarnation}, loop, clock, appender, fold);
//     keeper.want(DutyId("rollout/desk/north"));
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
    /// `options.holder` and `options.incarnation` are the appender's writer and incarnation.
    LeaseKeeper(LeaseOptions options, EventLoop &loop, Clock &clock, Appender &appender, const LeaseFold &fold);
    ~LeaseKeeper();
    LeaseKeeper(const LeaseKeeper &) = delete;
    LeaseKeeper &operator=(const LeaseKeeper &) = delete;

    void want(const DutyId &duty);
    /// Stops acting on the duty at once and releases it after the longest delivery time.
    void handBack(const DutyId &duty);
    void giveBackAll();
    bool allHandedBack() const;

    /// The fold has advanced.
    void onApplied();
    void tick();

    bool holds(const DutyId &duty, TimePoint now) const;
    std::optional<FencingNumber> fencing(const DutyId &duty, TimePoint now) const;

private:
    EventLoop &m_loop;
    Clock &m_clock;
    Appender &m_appender;
    const LeaseFold &m_fold;
    LeaseDecision m_decision;
    std::shared_ptr<LeaseKeeper *> m_self; // callbacks that outlive the keeper find it empty
};

} // namespace bergamot
