#pragma once

// What the rollout needs to know of a lease: whether this instance is responsible for a duty at this moment, and under
// which fencing number. `GuardedBy` adapts any class with the same functions, such as LeaseKeeper.
//
//     GuardedBy guard(leaseKeeper);
//     if (guard.holds(duty, clock.now())) { ... }

#include <optional>

#include "bergamot/base/clock.h"
#include "bergamot/base/ids.h"

namespace bergamot
{

/// Thread-confined.
class DutyGuard
{
public:
    virtual ~DutyGuard() = default;

    /// Asks for the duty; it may be granted at any later time.
    virtual void acquire(const DutyId &duty) = 0;
    /// False as soon as the lease might be another's, whatever the holder has slept through.
    virtual bool holds(const DutyId &duty, TimePoint now) const = 0;
    virtual std::optional<FencingNumber> fencing(const DutyId &duty, TimePoint now) const = 0;
};

template<typename Keeper>
class GuardedBy final : public DutyGuard
{
public:
    /// `keeper` outlives this.
    explicit GuardedBy(Keeper &keeper)
        : m_keeper(keeper)
    { }

    void acquire(const DutyId &duty) override
    {
        m_keeper.acquire(duty);
    }

    bool holds(const DutyId &duty, TimePoint now) const override
    {
        return m_keeper.holds(duty, now);
    }

    std::optional<FencingNumber> fencing(const DutyId &duty, TimePoint now) const override
    {
        return m_keeper.fencing(duty, now);
    }

private:
    Keeper &m_keeper;
};

} // namespace bergamot
