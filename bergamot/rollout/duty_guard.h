#pragma once

// The lease interface that the rollout uses: whether this instance holds a duty now, and under which fencing number.
// `GuardedBy` adapts any class with the same member functions, such as LeaseKeeper.
//
//     GuardedBy guard(leaseKeeper);
//     if (guard.holds(duty, clock.now())) { ... }

#include <optional>

#include "bergamot/base/clock.h"
#include "bergamot/base/ids.h"

namespace bergamot
{

/// Checks and requests leases of duties. Confined to one thread.
class DutyGuard
{
public:
    virtual ~DutyGuard() = default;

    /// Starts to claim the duty; the lease may be granted at any later time.
    virtual void acquire(const DutyId &duty) = 0;
    /// False as soon as another process might hold the lease, also after this process was paused.
    virtual bool holds(const DutyId &duty, TimePoint now) const = 0;
    /// The fencing number of the duty, or nullopt if `holds` is false.
    virtual std::optional<FencingNumber> fencing(const DutyId &duty, TimePoint now) const = 0;
};

/// Implements `DutyGuard` by forwarding to a `Keeper`.
template<typename Keeper>
class GuardedBy final : public DutyGuard
{
public:
    /// `keeper` must outlive this object.
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
