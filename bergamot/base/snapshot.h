#pragma once

// Read-copy-update for the request path: one writer publishes immutable states, any number of readers each see one
// whole state. Use it for what is read on every request and written by the control side.
//
//     Snapshot<RoutingTable> table(std::make_shared<const RoutingTable>());
//     auto current = table.read(); // stays valid while `current` lives
//     table.publish(std::make_shared<const RoutingTable>(next));

#include <atomic>
#include <memory>

namespace bergamot
{

/// Thread-safe. A reader never waits for a writer to finish building a state.
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
