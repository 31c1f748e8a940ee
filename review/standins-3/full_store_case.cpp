#include "review/standins-3/full_store_case.h"

#include <algorithm>
#include <csignal>
#include <deque>
#include <map>

#include "review/standins-3/batch_body.h"

namespace bergamot::review
{

namespace
{

using namespace std::chrono_literals;

constexpr std::uint64_t BodyLimit = std::uint64_t{32} * 1024 * 1024; // `max_body_bytes` of the small deployments
constexpr std::uint64_t StoreLimit =
    std::uint64_t{400} * 1024 * 1024; // from here on the store answers appends with 507
constexpr std::size_t Items = 112; // of a step
constexpr std::size_t LargeItem = std::size_t{210} * 1024; // bytes of a prompt; a step is about 31 MB
constexpr std::size_t SmallItem = 600;
constexpr std::uint64_t ResultDeadlineMs = 7500; // `run_aim_ms` of the site's trainer
constexpr Duration StepTimeout = 24s; // the trainer's time budget for a step, from its acceptance on
constexpr std::size_t OpenSteps = 4; // the trainer requests three steps ahead
constexpr Duration EventInterval = 250ms;
constexpr std::uint64_t EventsPerItem = 10;
constexpr Duration SubmitTimeout = 4s;
constexpr Duration TrainingTime = 300ms;
constexpr Duration KillTime = 60s; // of the kill, if the store does not become full
constexpr Duration TimeLimit = 80s; // for requests of steps
constexpr Duration UnrunTime = 5s; // so long an item has been at no engine when its step runs out of time
constexpr Duration ContactTime = 3s; // `contact_ms`: after the restart of a machine, until the state is steady
constexpr Duration VersionTime = 6s; // before that time; no version is named in either

class FullStoreCase
{
public:
    explicit FullStoreCase(const ReviewOptions &options)
        : m_options(options)
        , m_fleet(options,
                  {.nodes = 4,
                   .engines = 9,
                   .resultDeadlineMs = ResultDeadlineMs,
                   .bodyBytes = BodyLimit,
                   .engine = {.slots = 8, .eventInterval = EventInterval, .eventsPerSample = EventsPerItem}})
    { }

    CaseOutcome run()
    {
        m_fleet.onStoreCall = [this](std::size_t machine, const WatchedRequest &request) {
            return fateOf(machine, request);
        };
        if (!m_fleet.start()) {
            return CaseOutcome::CouldNotRun;
        }
        const TimePoint begin = BootClock::now();
        std::size_t accepted = 0;
        std::size_t listed = 0;
        bool refused = false; // at every attempt: such a step is not owed, and the trainer requests no further ones
        while (BootClock::now() - begin < TimeLimit || !m_open.empty()) {
            while (!refused && m_open.size() < OpenSteps && BootClock::now() - begin < TimeLimit) {
                refused = !request();
                accepted += refused ? 0 : 1;
            }
            if (m_open.empty()) {
                break;
            }
            if (!m_options.trouble && BootClock::now() - begin > KillTime) {
                killOwner();
            }
            const Step step = m_open.front();
            m_open.pop_front();
            const Duration timeLeft = step.acceptedAt + StepTimeout - BootClock::now();
            if (m_fleet.readUntilListed(step.name, Items, std::max(timeLeft, Duration(0)))) {
                ++listed;
            } else if (stepLost(step)) {
                return CaseOutcome::Broken;
            }
            m_fleet.endAnywhere(step.name, refused ? 1 : m_fleet.machines.size());
            if (refused) {
                continue;
            }
            m_fleet.runFor(TrainingTime);
            m_fleet.nameVersion(++m_version);
            m_versionAt = BootClock::now();
            m_fleet.record("the store holds " + std::to_string(m_storedBytes / 1024 / 1024) + " MB");
        }
        m_fleet.record("steps accepted: " + std::to_string(accepted) + ", listed: " + std::to_string(listed));
        return listed == 0 ? CaseOutcome::CouldNotRun : CaseOutcome::Held;
    }

private:
    struct Step
    {
        std::string name;
        TimePoint acceptedAt{};
    };

    /// Requests the next step; returns whether it was accepted.
    bool request()
    {
        const std::string name = "step-" + std::to_string(m_steps);
        const std::string body = batchBody({.name = name,
                                            .step = m_steps,
                                            .minVersion = m_version > 2 ? m_version - 2 : 1,
                                            .items = Items,
                                            .itemBytes = m_options.trouble ? LargeItem : SmallItem});
        ++m_steps;
        if (!m_fleet.submitUntilAccepted(name, body, SubmitTimeout)) {
            m_fleet.record(name + " was refused at every attempt");
            return false;
        }
        m_open.push_back({.name = name, .acceptedAt = BootClock::now()});
        return true;
    }

    /// What the platform's store does: it counts the bytes that it holds, and is full at its limit.
    AnswerFate fateOf(std::size_t machine, const WatchedRequest &request)
    {
        if (request.line.starts_with("POST /bergamotwinch/log-trim")) {
            trim(request.line);
            return AnswerFate::Done;
        }
        if (!request.line.starts_with("POST /bergamotwinch/log-append")) {
            return AnswerFate::Passed;
        }
        const std::string topic = parameter(request.line, "topic");
        const auto partition =
            static_cast<std::uint32_t>(std::strtoul(parameter(request.line, "part").c_str(), nullptr, 10));
        m_partitions.try_emplace({topic, partition});
        count();
        if (m_storedBytes < StoreLimit || request.body.empty()) {
            if (request.line.find("producer=pool") != std::string::npos) {
                m_owner = machine;
            }
            return AnswerFate::Passed;
        }
        killOwner();
        if (m_refusals++ % 50 == 0) {
            m_fleet.record("the store is full: 507 to " + m_fleet.machines[machine]->name() + ": " + request.line
                           + " (refusal " + std::to_string(m_refusals) + ")");
        }
        return AnswerFate::Full;
    }

    void killOwner()
    {
        if (!std::exchange(m_killed, true)) {
            m_fleet.record("SIGKILL to " + m_fleet.machines[m_owner]->name() + ", the owner of the pool");
            m_fleet.machines[m_owner]->signal(SIGKILL);
        }
    }

    static std::string parameter(const std::string &line, const std::string &name)
    {
        for (const char *before : {"?", "&"}) {
            const std::size_t found = line.find(before + name + "=");
            if (found != std::string::npos) {
                const std::size_t begin = found + name.size() + 2;
                return line.substr(begin, line.find_first_of("& ", begin) - begin);
            }
        }
        return {};
    }

    void trim(const std::string &line)
    {
        count();
        const std::string topic = parameter(line, "topic");
        const auto part = static_cast<std::uint32_t>(std::strtoul(parameter(line, "part").c_str(), nullptr, 10));
        const std::uint64_t before = std::strtoull(parameter(line, "before").c_str(), nullptr, 10);
        Counted &counted = m_partitions[{topic, part}];
        while (!counted.sizes.empty() && counted.end - counted.sizes.size() < before) {
            m_storedBytes -= counted.sizes.front();
            counted.sizes.pop_front();
        }
        m_fleet.log().trim(topic, part, before);
    }

    void count()
    {
        constexpr std::size_t LengthBytes = 4;
        constexpr std::size_t ReadBytes = std::size_t{4} * 1024 * 1024;
        for (auto &[key, counted] : m_partitions) {
            const std::uint64_t end = m_fleet.log().end(key.first, key.second);
            while (counted.end < end) {
                for (const std::string &record :
                     m_fleet.log().read(key.first, key.second, counted.end, ReadBytes).records) {
                    counted.sizes.push_back(record.size() + LengthBytes);
                    m_storedBytes += counted.sizes.back();
                    ++counted.end;
                }
            }
        }
    }

    /// The rule as written.
    bool stepLost(const Step &step)
    {
        const TimePoint now = BootClock::now();
        std::size_t begun = 0;
        std::vector<std::string> unrun; // unfinished, and at no engine for that time
        for (std::size_t index = 0; index < Items; ++index) {
            const std::string item = itemName(step.name, index);
            const ItemRun run = m_fleet.itemRuns[item];
            begun += run.begunAt == TimePoint() ? 0 : 1;
            const TimePoint since = std::max({run.endedAt, step.acceptedAt, m_fleet.startedAgainAt + ContactTime});
            if (!run.finished && run.running == 0 && now - since > UnrunTime) {
                unrun.push_back(item);
            }
        }
        bool idle = true; // the engines, all that time
        for (const auto &[item, run] : m_fleet.itemRuns) {
            idle = idle && run.running == 0 && now - run.endedAt > UnrunTime;
        }
        const auto milliseconds = [](Duration time) {
            return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time).count()) + " ms";
        };
        m_fleet.record(step.name + " ran out of time, " + milliseconds(now - step.acceptedAt)
                       + " after its 202: " + std::to_string(begun) + " of " + std::to_string(Items)
                       + " items have begun, " + std::to_string(unrun.size())
                       + " are not finished and at no engine for over 5 s; the engines were "
                       + (idle ? "idle" : "not idle") + " all that time; the last version was named "
                       + milliseconds(now - m_versionAt) + " ago");
        const bool lost = begun > 0 && !unrun.empty() && idle && now - m_versionAt > UnrunTime + VersionTime;
        if (lost) {
            m_fleet.record("BROKEN: " + step.name + " ran out of time while no engine had " + unrun.front()
                           + ", which was accepted");
        }
        return lost;
    }

    struct Counted
    {
        std::uint64_t end = 0;
        std::deque<std::size_t> sizes; // of the records that are kept
    };

    const ReviewOptions &m_options;
    ReviewFleet m_fleet;
    std::deque<Step> m_open;
    std::uint64_t m_steps = 0;
    std::uint64_t m_version = 1;
    TimePoint m_versionAt{};
    std::map<std::pair<std::string, std::uint32_t>, Counted> m_partitions;
    std::uint64_t m_storedBytes = 0;
    std::size_t m_refusals = 0;
    std::size_t m_owner = 0; // the machine that wrote last as the owner of the pool
    bool m_killed = false; // once
};

} // namespace

CaseOutcome runFullStoreCase(const ReviewOptions &options)
{
    FullStoreCase fullStore(options);
    return fullStore.run();
}

} // namespace bergamot::review
