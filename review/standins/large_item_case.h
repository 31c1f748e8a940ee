#pragma once

// LOST: a trainer asks for steps ahead. The first step holds one item whose declared tokens nearly fill an engine's
// memory. It and the items behind it must not wait for an empty engine while those of later steps run.

#include "review/standins/engine.h"
#include "review/standins/review_case.h"

namespace bergamot::review
{

/// Not thread-safe.
class LargeItemCase final : public ReviewCase
{
public:
    LargeItemCase(boost::asio::io_context &loop, platform::StoreStandin &store, CaseOptions options);

    void start() override;

private:
    std::string body(std::uint64_t step) const;
    void submit(std::uint64_t step);
    /// Notes when an engine is half full or more.
    void watch();
    void judge();

    EngineRuns m_runs;
    std::vector<std::unique_ptr<Engine>> m_engines;
    bool m_listening = true;
    TimePoint m_submittedAt{}; // of the first step
    TimePoint m_halfFullAt{}; // the last time; zero: never
};

} // namespace bergamot::review
