#pragma once

// Guards an object against callbacks that other threads run late: they hold the lock while they use it, and it closes
// the gate before it goes.
//
//     client.call(..., [this, gate = m_gate](...) {
//         const std::lock_guard lock(gate->mutex);
//         if (gate->open) { use(*this); }
//     });

#include <mutex>

namespace bergamot
{

struct Gate
{
    std::mutex mutex;
    bool open = true;

    void close()
    {
        const std::lock_guard lock(mutex);
        open = false;
    }
};

} // namespace bergamot
