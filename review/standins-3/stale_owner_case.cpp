#include "review/standins-3/stale_owner_case.h"

namespace bergamot::review
{

namespace
{

using namespace std::chrono_literals;

constexpr std::size_t Items = 112; // as on the sheets of the small deployments
constexpr std::uint32_t GroupSize = 4;
constexpr Duration SubmitTimeout = 5s;
constexpr Duration CutAfter = 1000ms; // after the step was accepted
constexpr Duration ReleaseAfter = 500ms; // then the first of two releases begins, which replaces one of two endpoints
constexpr Duration DrainAfter = 700ms; // after the new endpoint has registered itself, the old one says that it drains
constexpr Duration DrainTime = 2500ms; // over `drain_ms`; then it is gone
constexpr Duration TimeBudget = 7500ms; // `run_aim_ms`: then the trainer ends the step
constexpr Duration CutTime = 12s; // as for `node_cut`
constexpr Duration CancelTime = 3000ms; // `cancel_ms`

class StaleOwnerCase
{
public:
    explicit StaleOwnerCase(const ReviewOptions &options)
        : m_options(options)
        , m_fleet(options,
                  {.engines = 2, .services = 2, .engine = {.slots = 8, .eventInterval = 200ms, .eventsPerSample = 10}})
    { }

    CaseOutcome run()
    {
        m_fleet.onStoreCall = [this](std::size_t machine, const WatchedRequest &request) {
            if (request.line.starts_with("POST /bergamotwinch/log-append")
                && request.line.find("producer=pool") != std::string::npos && !m_cut) {
                m_owner = machine;
            }
            return AnswerFate::Passed;
        };
        m_fleet.onEndpointCall = [this](const std::string &endpoint, const WatchedRequest &request) {
            observe(endpoint, request);
        };
        if (!m_fleet.start()) {
            return CaseOutcome::CouldNotRun;
        }
        platform::BatchParameters batch{
            .wantedGroups = static_cast<std::uint32_t>(Items) / GroupSize, .groupSize = GroupSize, .items = {}};
        for (std::size_t index = 0; index < Items; ++index) {
            batch.items.push_back(Step + "-" + std::to_string(index));
        }
        if (!m_fleet.submitUntilAccepted(Step, platform::batchJson(batch), SubmitTimeout)) {
            return CaseOutcome::CouldNotRun;
        }
        const TimePoint acceptedAt = BootClock::now();
        m_fleet.runFor(CutAfter);
        m_cut = true;
        const TimePoint cutAt = BootClock::now();
        if (m_options.trouble) {
            m_fleet.cutFromStore(m_owner);
        }
        m_fleet.runFor(ReleaseAfter);
        if (!release("d1", "d3")) {
            return CaseOutcome::CouldNotRun;
        }
        m_fleet.runFor(acceptedAt + TimeBudget - BootClock::now());
        const std::size_t other = (m_owner + 1) % m_fleet.machines.size(); // in touch
        const bool ended = m_fleet.runUntil(
            [this, other] {
                return m_fleet.end(Step, other);
            },
            SubmitTimeout);
        if (!ended) {
            return CaseOutcome::CouldNotRun;
        }
        m_endedAt = BootClock::now();
        if (!release("d2", "d4")) {
            return CaseOutcome::CouldNotRun;
        }
        m_fleet.runFor(cutAt + CutTime - BootClock::now());
        m_fleet.record("reward calls that reached d3 and d4 before the end: " + std::to_string(m_before)
                       + ", later than " + std::to_string(CancelTime / 1ms)
                       + " ms after it: " + std::to_string(m_late));
        if (m_late > 0) {
            m_fleet.record("BROKEN: a reward call of a step that had ended was run");
            return CaseOutcome::Broken;
        }
        return CaseOutcome::Held;
    }

private:
    static inline const std::string Step = "step-1";

    /// The new endpoint comes first, then the old one drains and goes.
    bool release(const std::string &oldId, const std::string &newId)
    {
        m_fleet.record(newId + " registers itself");
        if (!m_fleet.addEndpoint({.id = newId, .service = "desk", .slots = 16})) {
            return false;
        }
        m_fleet.runFor(DrainAfter);
        m_fleet.drainEndpoint(oldId);
        m_fleet.runFor(DrainTime);
        m_fleet.removeEndpoint(oldId);
        return true;
    }

    /// Only machines that are in touch know d3 and d4: they registered themselves when the owner was cut off already.
    void observe(const std::string &endpoint, const WatchedRequest &request)
    {
        if ((endpoint != "d3" && endpoint != "d4") || !request.line.starts_with("POST /plain/score")) {
            return;
        }
        const bool late = m_endedAt != TimePoint() && BootClock::now() - m_endedAt > CancelTime;
        ++(late ? m_late : m_before);
        if (m_endedAt != TimePoint()) {
            const std::chrono::milliseconds since =
                std::chrono::duration_cast<std::chrono::milliseconds>(BootClock::now() - m_endedAt);
            m_fleet.record(endpoint + " gets " + attemptId(request) + ", " + std::to_string(since.count())
                           + " ms after the end");
        }
    }

    const ReviewOptions &m_options;
    ReviewFleet m_fleet;
    std::size_t m_owner = 0; // of the pool, when a machine is cut off
    bool m_cut = false;
    TimePoint m_endedAt{}; // the answer to the end
    std::size_t m_before = 0;
    std::size_t m_late = 0;
};

} // namespace

CaseOutcome runStaleOwnerCase(const ReviewOptions &options)
{
    StaleOwnerCase staleOwner(options);
    return staleOwner.run();
}

} // namespace bergamot::review
