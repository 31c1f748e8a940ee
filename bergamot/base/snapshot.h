#pragma once

// Read-copy-update for the request path: one writer publishes immutable states, and each of any number of readers sees
// one complete state. Use it for data that every request reads and only the control path writes.
//
//     Snapshot<RoutingTable> table(std::make_shared<const RoutingTable>());
//     auto current = table.read(); // stays valid for the lifetime of `current`
//     table.publish(std::make_shared<const RoutingTable>(next));

#include <atomic>
#include <memory>

namespace bergamot
{

/// Thread-safe. A reader never waits for a writer that is building the next state.
template<typename T>
class Snapshot
{
public:
    explicit Snapshot(std::shared_ptr<const T> initial)
        : m_current(std::move(initial))
    { }

    std::shared_ptr<const T> read() const
    {
        return m_current.load(std::memory_order_acquire);
    }

    void publish(std::shared_ptr<const T> next)
    {
        m_current.store(std::move(next), std::memory_order_release);
    }

private:
    std::atomic<std::shared_ptr<const T>> m_current;
};

} // namespace bergamot
