#pragma once

// Waits for SIGTERM or SIGINT, so that a program shuts down in its main thread instead of in a signal handler.
// Construct it before any other thread starts, because threads inherit the set of blocked signals.
//
//     const ShutdownSignals signals;
//     ... // start the components
//     signals.wait();
//     ... // shut the components down

#include <csignal>

namespace bergamot
{

/// Blocks SIGTERM and SIGINT in this thread and in all threads that it starts later, and ignores SIGPIPE.
class ShutdownSignals
{
public:
    ShutdownSignals();

    /// Blocks until one of the two signals arrives.
    void wait() const;

private:
    sigset_t m_signals{};
};

} // namespace bergamot
