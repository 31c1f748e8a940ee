#include "bergamot/standins/engine_core.h"

namespace bergamot
{

namespace
{

constexpr std::string_view LeaveOnListOnly = "list";

} // namespace

Result<void> EngineCore::apply(const FaultCommand &command, TimePoint now)
{
    using Apply = void (EngineCore::*)(const FaultCommand &, TimePoint);
    static const std::map<std::string_view, Apply> ownFaults = {
        {"crash", &EngineCore::applyCrash},
        {"leave", &EngineCore::applyLeave},
        {"fail-swap", &EngineCore::applyFailSwap},
        {"poison", &EngineCore::applyPoison},
        {"slow-slots", &EngineCore::applySlowSlots},
        {"stall", &EngineCore::applyStall},
        {"ignore-fencing", &EngineCore::applyIgnoreFencing},
    };
    advance(now);
    const auto found = ownFaults.find(command.fault);
    if (found == ownFaults.end()) {
        return m_faults.apply(command);
    }
    (this->*found->second)(command, now);
    return {};
}

void EngineCore::applyCrash(const FaultCommand &command, TimePoint now)
{
    const bool given = command.duration > std::chrono::milliseconds::zero();
    crash(given ? Duration(command.duration) : m_options.restartTime, now);
}

void EngineCore::applyLeave(const FaultCommand &command, TimePoint now)
{
    m_runs.setLeaving(command.count > 0, now);
    m_tellsOfLeaving = command.text != LeaveOnListOnly;
}

void EngineCore::applyFailSwap(const FaultCommand &command, TimePoint /*now*/)
{
    m_loader.failNext(command.count);
    m_failureIsUnusable = command.text == "unusable";
}

void EngineCore::applyPoison(const FaultCommand &command, TimePoint /*now*/)
{
    if (command.text.empty() || command.count == 0) {
        m_poison.clear();
        return;
    }
    m_poison.insert(command.text);
}

void EngineCore::applySlowSlots(const FaultCommand &command, TimePoint /*now*/)
{
    m_slowSlots = command.count;
    m_slowTokenTime = command.duration;
}

void EngineCore::applyStall(const FaultCommand &command, TimePoint now)
{
    pauseDecoding(now + command.duration, now);
}

void EngineCore::applyIgnoreFencing(const FaultCommand &command, TimePoint /*now*/)
{
    m_options.checksFencing = command.count == 0;
}

} // namespace bergamot
