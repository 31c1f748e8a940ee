#pragma once

// LOST: two models are trained on nine engines. The engine that alone has the small model's weights is lost for good in
// the middle of a step. The other eight are idle, and one of them must take the weights and the items.

#include "review/standins/engine.h"
#include "review/standins/review_case.h"

namespace bergamot::review
{

/// Not thread-safe.
class LostEngineCase final : public ReviewCase
{
public:
    LostEngineCase(boost::asio::io_context &loop, platform::StoreStandin &store, CaseOptions options);

    void start() override;

private:
    struct Lot
    {
        std::string name;
        std::string model;
        std::uint64_t step = 0;
        std::uint64_t minVersion = 1;
        std::size_t items = 0;
        int events = 0;
    };

    static std::string itemName(const Lot &lot, std::size_t index);
    static std::string body(const Lot &lot);
    void submit(const Lot &lot, Step accepted);
    /// Continues when the trainer has read all results of the lot, and ends it.
    void readAll(const Lot &lot, Step done);
    void nameVersion(const std::string &model, std::uint64_t version);
    /// Continues when an engine has the version.
    void awaitVersion(const std::string &model, std::uint64_t version, Step done);
    /// Both trainers have finished their first steps and name versions.
    void nameVersions();
    void lastStep();
    /// Loses the engine at which the items of the last step run.
    void loseEngine();
    /// Notes when an engine is half full or more.
    void watch();
    void judge();

    EngineRuns m_runs;
    std::vector<std::unique_ptr<Engine>> m_engines;
    bool m_listening = true;
    Lot m_last;
    TimePoint m_halfFullAt{}; // the last time; zero: never
};

} // namespace bergamot::review
