#pragma once

// SIGTERM and SIGINT as something to wait for, so that a program shuts down in its main thread. Make one before any
// other thread starts.
//
//     const EndSignals signals;
//     ... // start the parts
//     signals.wait();
//     ... // shut them down

#include <csignal>

namespace bergamot
{

/// Blocks both signals in this thread and all that it starts, and ignores SIGPIPE.
class EndSignals
{
public:
    EndSignals();

    /// Returns once one of the signals has come.
    void wait() const;

private:
    sigset_t m_signals{};
};

} // namespace bergamot
