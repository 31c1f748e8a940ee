#pragma once

// BUDGET: a streamed request crashes each engine that begins to run it, and comes again at any node. After it has
// crashed the third engine, it must not reach engines in more than three retries.

#include "review/standins/engine.h"
#include "review/standins/review_case.h"

namespace bergamot::review
{

/// Not thread-safe.
class TrapCase final : public ReviewCase
{
public:
    TrapCase(boost::asio::io_context &loop, platform::StoreStandin &store, CaseOptions options);

    void start() override;

private:
    void waitUntilReady();
    void send();
    void judge();

    EngineRuns m_runs;
    std::vector<std::unique_ptr<Engine>> m_engines;
    bool m_listening = true;
    std::size_t m_sent = 0;
};

} // namespace bergamot::review
