#pragma once

// Counts the bytes that a process holds for its peers, over all listeners, and decides who gives way when they exceed
// the bound: the large holders go first, those without progress before the others. What is small is the last to go, so
// that ordinary requests are served beside large ones.
//
//     MemoryAccount account(bound);
//     account.add(connection);
//     account.update(connection, {.bytes = 4096, .stage = HoldingStage::Receiving, .progressAt = now});
//     while (MemoryHolder *holder = account.overdrawn()) {
//         holder->giveWay();
//     }

#include <cstddef>
#include <limits>
#include <unordered_map>

#include "bergamot/base/clock.h"

namespace bergamot::net
{

enum class HoldingStage {
    Receiving, // a request that has not been passed on
    Handling, // a request that was passed on and is not answered
    Sending, // a response
};

/// What one holder keeps.
struct Holding
{
    std::size_t bytes = 0;
    HoldingStage stage = HoldingStage::Receiving;
    bool pipelines = false; // sends on, behind a request that is not answered
    TimePoint progressAt{}; // when the peer last sent or took bytes
};

/// Something that keeps bytes for a peer, such as a connection.
class MemoryHolder
{
public:
    virtual ~MemoryHolder() = default;
    /// Releases what is held: updates its holding to fewer bytes or removes itself before it returns.
    virtual void giveWay() = 0;
};

/// Not thread-safe.
class MemoryAccount
{
public:
    static constexpr std::size_t Unlimited = std::numeric_limits<std::size_t>::max();
    static constexpr std::size_t SmallBytes = std::size_t{64} * 1024; // a holder of at most this is small

    explicit MemoryAccount(std::size_t maxBytes = Unlimited)
        : m_maxBytes(maxBytes)
    { }

    void add(MemoryHolder &holder);
    void remove(MemoryHolder &holder);
    void update(MemoryHolder &holder, const Holding &holding);
    /// Bytes that belong to no holder.
    void addOther(std::size_t bytes);
    void removeOther(std::size_t bytes);

    std::size_t maxBytes() const;
    /// What holders that are not small may keep together; a request that is larger cannot be served.
    std::size_t maxLargeBytes() const;
    std::size_t heldBytes() const;
    /// Whether `bytes` more, for work that is not small, exceed the bound.
    bool hasRoomFor(std::size_t bytes) const;
    /// The holder that has to give way now; null if nothing exceeds its bound, or nobody can.
    MemoryHolder *overdrawn() const;

private:
    using Holders = std::unordered_map<MemoryHolder *, Holding>;

    template<typename Accepts>
    MemoryHolder *chooseAmong(Accepts accepts) const;

    std::size_t m_maxBytes;
    std::size_t m_heldBytes = 0;
    Holders m_holders;
};

} // namespace bergamot::net
