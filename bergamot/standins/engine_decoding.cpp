#include "bergamot/standins/engine_core.h"
#include "bergamot/standins/generated_text.h"

namespace bergamot
{

void EngineCore::advance(TimePoint now)
{
    for (std::optional<TimePoint> due = nextDue(); due && *due <= now; due = nextDue()) {
        m_load.note(m_running.size(), m_waiting.size(), *due);
        step(*due);
    }
    m_load.note(m_running.size(), m_waiting.size(), now);
}

std::optional<TimePoint> EngineCore::nextDue() const
{
    if (m_downUntil) {
        return m_downUntil;
    }
    std::optional<TimePoint> due = m_loader.due();
    for (const Running &running : m_running) {
        due = due ? std::min(*due, running.nextToken) : running.nextToken;
    }
    return due;
}

void EngineCore::step(TimePoint now)
{
    if (m_downUntil) {
        m_downUntil.reset();
        return;
    }
    if (m_loader.due() && *m_loader.due() <= now) {
        stepLoad(now);
        return;
    }
    for (std::size_t i = 0; i < m_running.size(); ++i) {
        if (m_running[i].nextToken <= now) {
            decode(i, now);
            return;
        }
    }
}

void EngineCore::stepLoad(TimePoint now)
{
    switch (m_loader.step()) {
    case LoadStep::Waiting:
    case LoadStep::Refused:
        return;
    case LoadStep::SwapBegun:
        pauseDecoding(*m_loader.due(), now);
        return;
    case LoadStep::Installed:
        install(now);
        return;
    case LoadStep::Failed:
        failSwap(now);
        return;
    }
}

void EngineCore::install(TimePoint now)
{
    if (m_loader.model() != m_model) {
        stopAll();
    }
    m_model = m_loader.model();
    m_version = m_loader.version();
    m_loader.abort();
    m_cache.clear();
    admitWaiting(now);
}

void EngineCore::failSwap(TimePoint now)
{
    m_loader.abort();
    if (m_failureIsUnusable) {
        m_version = 0;
        loseAll();
    }
    admitWaiting(now);
}

void EngineCore::decode(std::size_t index, TimePoint now)
{
    Running &running = m_running[index];
    if (poisoned(running.request)) {
        crash(m_options.restartTime, now);
        return;
    }
    appendToken(running.generation, running.request.prompt, m_version);
    m_events.push_back({.kind = EngineEvent::Kind::Token,
                        .requestId = running.request.requestId,
                        .text = generatedToken(running.request.prompt, m_version),
                        .version = m_version});
    running.nextToken = now + tokenTime(running.slot);
    if (tokenCount(running.generation) >= running.target) {
        finish(index, running.target < running.request.maxTokens ? "stop" : "length");
        admitWaiting(now);
    }
}

void EngineCore::finish(std::size_t index, const std::string &reason)
{
    Running running = std::move(m_running[index]);
    m_running.erase(m_running.begin() + static_cast<std::ptrdiff_t>(index));
    running.generation.finish = reason;
    m_events.push_back({.kind = EngineEvent::Kind::Finished,
                        .requestId = running.request.requestId,
                        .generation = std::move(running.generation)});
}

void EngineCore::stopAll()
{
    while (!m_waiting.empty()) {
        stop(m_waiting.front().requestId);
    }
    while (!m_running.empty()) {
        finish(m_running.size() - 1, "cancelled");
    }
}

void EngineCore::loseAll()
{
    for (const Running &running : m_running) {
        m_events.push_back({.kind = EngineEvent::Kind::Lost, .requestId = running.request.requestId});
    }
    for (const GenerateRequest &waiting : m_waiting) {
        m_events.push_back({.kind = EngineEvent::Kind::Lost, .requestId = waiting.requestId});
    }
    m_running.clear();
    m_waiting.clear();
}

void EngineCore::pauseDecoding(TimePoint until, TimePoint now)
{
    for (Running &running : m_running) {
        running.nextToken += until - now;
    }
    m_pausedUntil = std::max(m_pausedUntil, until);
}

void EngineCore::crash(Duration restartTime, TimePoint now)
{
    loseAll();
    m_loader.abort();
    m_cache.clear();
    ++m_crashes;
    m_downUntil = now + restartTime;
    m_pausedUntil = now;
    m_model = m_options.model;
    m_version = m_options.bootVersion;
    m_role = EngineRole::Serving;
}

bool EngineCore::poisoned(const GenerateRequest &request) const
{
    return std::any_of(m_poison.begin(), m_poison.end(), [&](const std::string &text) {
        return request.prompt.find(text) != std::string::npos;
    });
}

} // namespace bergamot
