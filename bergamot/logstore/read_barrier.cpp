#include "bergamot/logstore/read_barrier.h"

namespace bergamot::logstore
{

ReadBarrier::Ticket ReadBarrier::ask(TimePoint now)
{
    m_questions.push_back({.ticket = ++m_lastTicket, .deadline = now + m_options.timeout});
    return m_lastTicket;
}

bool ReadBarrier::beginRead()
{
    if (m_readInFlight) {
        return false;
    }
    for (Question &question : m_questions) {
        if (question.stage == Stage::Waiting) {
            question.stage = Stage::Reading;
            m_readInFlight = true;
        }
    }
    return m_readInFlight;
}

void ReadBarrier::onEnd(std::uint64_t end)
{
    m_readInFlight = false;
    for (Question &question : m_questions) {
        if (question.stage == Stage::Reading) {
            question.stage = Stage::EndKnown;
            question.end = end;
        }
    }
}

void ReadBarrier::onReadFailed()
{
    m_readInFlight = false;
    for (Question &question : m_questions) {
        if (question.stage == Stage::Reading) {
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
