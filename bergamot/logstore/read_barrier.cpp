#include "bergamot/logstore/read_barrier.h"

#include <algorithm>

namespace bergamot::logstore
{

ReadBarrier::Ticket ReadBarrier::ask(TimePoint now)
{
    m_questions.push_back({.ticket = ++m_lastTicket, .deadline = now + m_options.timeout});
    return m_lastTicket;
}

std::optional<ReadBarrier::ReadId> ReadBarrier::beginRead(TimePoint now)
{
    const bool waiting = std::any_of(m_questions.begin(), m_questions.end(), [](const Question &question) {
        return question.stage == Stage::Waiting;
    });
    if (!waiting || (m_lastRead != 0 && now - m_lastReadAt < m_options.minReadInterval)) {
        return std::nullopt;
    }
    ++m_lastRead;
    m_lastReadAt = now;
    for (Question &question : m_questions) {
        if (question.stage == Stage::Waiting) {
            question.stage = Stage::Reading;
            question.read = m_lastRead;
        }
    }
    return m_lastRead;
}

void ReadBarrier::onEnd(ReadId read, std::uint64_t end)
{
    for (Question &question : m_questions) {
        if (question.stage == Stage::Reading && question.read == read) {
            question.stage = Stage::EndKnown;
            question.end = end;
        }
    }
}

void ReadBarrier::onReadFailed(ReadId read)
{
    for (Question &question : m_questions) {
        if (question.stage == Stage::Reading && question.read == read) {
            question.stage = Stage::Failed;
        }
    }
}

std::vector<BarrierOutcome> ReadBarrier::takeOutcomes(std::uint64_t nextOffset, TimePoint now)
{
    std::vector<BarrierOutcome> outcomes;
    std::erase_if(m_questions, [&](const Question &question) {
        const bool confirmed = question.stage == Stage::EndKnown && nextOffset >= question.end;
        const bool failed = question.stage == Stage::Failed || now >= question.deadline;
        if (confirmed || failed) {
            outcomes.push_back({.ticket = question.ticket, .confirmed = confirmed});
        }
        return confirmed || failed;
    });
    return outcomes;
}

} // namespace bergamot::logstore
