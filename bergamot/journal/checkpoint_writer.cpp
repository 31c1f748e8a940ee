#include "bergamot/journal/checkpoint_writer.h"

namespace bergamot
{

CheckpointWriter::CheckpointWriter(CheckpointWriterOptions options)
    : m_options(options)
{ }

void CheckpointWriter::begin(const StreamCheckpoint &checkpoint, TimePoint now)
{
    std::vector<std::string> payloads = checkpointPayloads(checkpoint, m_options.partBytes);
    m_partInterval = std::min(m_options.maxGap, m_options.spread / static_cast<Duration::rep>(payloads.size()));
    m_parts.assign(std::make_move_iterator(payloads.begin()), std::make_move_iterator(payloads.end()));
    m_nextPartAt = now;
}

void CheckpointWriter::drop()
{
    m_parts.clear();
}

bool CheckpointWriter::busy() const
{
    return !m_parts.empty();
}

std::optional<std::string> CheckpointWriter::nextPart(TimePoint now)
{
    if (m_parts.empty() || now < m_nextPartAt) {
        return std::nullopt;
    }
    std::string payload = std::move(m_parts.front());
    m_parts.pop_front();
    m_nextPartAt = now + m_partInterval;
    return payload;
}

} // namespace bergamot
