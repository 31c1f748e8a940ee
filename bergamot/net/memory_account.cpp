#include "bergamot/net/memory_account.h"

namespace bergamot::net
{

namespace
{

bool isLarge(const Holding &holding)
{
    return holding.bytes > MemoryAccount::SmallBytes;
}

/// Whether nothing is lost that was promised: the request has not been passed on, or its response is complete.
bool isReleasable(const Holding &holding)
{
    return holding.stage != HoldingStage::Handling || holding.pipelines;
}

} // namespace

void MemoryAccount::add(MemoryHolder &holder)
{
    m_holders.try_emplace(&holder);
}

void MemoryAccount::remove(MemoryHolder &holder)
{
    const auto found = m_holders.find(&holder);
    if (found != m_holders.end()) {
        m_heldBytes -= found->second.bytes;
        m_holders.erase(found);
    }
}

void MemoryAccount::update(MemoryHolder &holder, const Holding &holding)
{
    const auto found = m_holders.find(&holder);
    if (found == m_holders.end()) {
        return;
    }
    m_heldBytes += holding.bytes - found->second.bytes;
    found->second = holding;
}

void MemoryAccount::addOther(std::size_t bytes)
{
    m_heldBytes += bytes;
}

void MemoryAccount::removeOther(std::size_t bytes)
{
    m_heldBytes -= bytes;
}

std::size_t MemoryAccount::maxBytes() const
{
    return m_maxBytes;
}

std::size_t MemoryAccount::maxLargeBytes() const
{
    constexpr std::size_t Quarters = 4; // the last one is left to small holders
    return m_maxBytes - m_maxBytes / Quarters;
}

std::size_t MemoryAccount::heldBytes() const
{
    return m_heldBytes;
}

bool MemoryAccount::hasRoomFor(std::size_t bytes) const
{
    return m_heldBytes <= maxLargeBytes() && bytes <= maxLargeBytes() - m_heldBytes;
}

MemoryHolder *MemoryAccount::overdrawn() const
{
    if (m_heldBytes <= maxLargeBytes()) {
        return nullptr;
    }
    MemoryHolder *holder = chooseAmong([](const Holding &holding) {
        return isLarge(holding) && isReleasable(holding);
    });
    if (holder != nullptr || m_heldBytes <= m_maxBytes) {
        return holder;
    }
    holder = chooseAmong(isReleasable);
    return holder != nullptr ? holder : chooseAmong([](const Holding &) {
        return true;
    });
}

template<typename Accepts>
MemoryHolder *MemoryAccount::chooseAmong(Accepts accepts) const
{
    std::size_t largest = 0;
    for (const auto &[holder, holding] : m_holders) {
        largest = accepts(holding) ? std::max(largest, holding.bytes) : largest;
    }
    // Each choice frees much, and a small holder that has stalled does not go before a large one.
    const Holders::value_type *oldest = nullptr;
    for (const Holders::value_type &entry : m_holders) {
        const bool eligible = largest > 0 && accepts(entry.second) && entry.second.bytes >= largest / 2;
        if (eligible && (oldest == nullptr || entry.second.progressAt < oldest->second.progressAt)) {
            oldest = &entry;
        }
    }
    return oldest == nullptr ? nullptr : oldest->first;
}

} // namespace bergamot::net
