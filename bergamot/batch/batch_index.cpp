#include "bergamot/batch/batch_index.h"

namespace bergamot::batch
{

BatchChange BatchIndex::apply(std::uint64_t offset, const log::Record &record, TimePoint now)
{
    switch (record.payload_type()) {
    case log::Payload::BatchPart:
        return applyPart(offset, *record.payload_as_BatchPart(), now);
    case log::Payload::ItemResult:
        return applyResult(offset, *record.payload_as_ItemResult());
    case log::Payload::BatchEnd: {
        const auto found = m_batches.find(text(record.payload_as_BatchEnd()->batch()));
        if (found == m_batches.end() || found->second.ended) {
            return BatchChange::Nothing;
        }
        found->second.ended = true;
        found->second.progress.clear();
        return BatchChange::Ended;
    }
    case log::Payload::ItemProgress:
        applyProgress(offset, *record.payload_as_ItemProgress());
        return BatchChange::Nothing;
    default:
        return BatchChange::Nothing;
    }
}

const BatchEntry *BatchIndex::find(const std::string &batch) const
{
    const auto found = m_batches.find(batch);
    return found == m_batches.end() ? nullptr : &found->second;
}

void BatchIndex::expire(TimePoint now)
{
    std::erase_if(m_batches, [&](const auto &entry) {
        const Duration keep = entry.second.ended ? m_options.keepEndedFor : m_options.keepFor * 2;
        return now - entry.second.acceptedAt > keep;
    });
    std::erase_if(m_incomplete, [&](const auto &entry) {
        return now - entry.second.seenAt > m_options.keepFor;
    });
}

BatchChange BatchIndex::applyPart(std::uint64_t offset, const log::BatchPart &part, TimePoint now)
{
    const std::string batch = text(part.batch());
    if (m_batches.contains(batch) || part.parts() == 0) {
        return BatchChange::Nothing;
    }
    Submission &submission = m_incomplete[{batch, part.submission()}];
    submission.offsets.emplace(part.part(), offset);
    submission.seenAt = now;
    if (submission.offsets.size() < part.parts()) {
        return BatchChange::Nothing;
    }
    BatchEntry &entry = m_batches[batch];
    entry.totalItems = part.total_items();
    entry.listed.resize(part.total_items());
    entry.acceptedAt = now;
    for (const auto &[number, partOffset] : submission.offsets) {
        entry.partOffsets.push_back(partOffset);
    }
    std::erase_if(m_incomplete, [&](const auto &other) {
        return other.first.first == batch;
    });
    return BatchChange::Accepted;
}

BatchChange BatchIndex::applyResult(std::uint64_t offset, const log::ItemResult &result)
{
    const auto found = m_batches.find(text(result.batch()));
    if (found == m_batches.end() || result.item() >= found->second.listed.size()) {
        return BatchChange::Nothing;
    }
    BatchEntry &entry = found->second;
    if (entry.listed[result.item()]) {
        return BatchChange::Nothing;
    }
    entry.listed[result.item()] = true;
    entry.progress.erase(result.item());
    entry.results.push_back({result.item(), offset});
    return BatchChange::ResultListed;
}

void BatchIndex::applyProgress(std::uint64_t offset, const log::ItemProgress &progress)
{
    const auto found = m_batches.find(text(progress.batch()));
    if (found == m_batches.end() || found->second.ended || progress.item() >= found->second.listed.size()) {
        return;
    }
    if (!found->second.listed[progress.item()]) {
        found->second.progress[progress.item()].push_back(offset);
    }
}

} // namespace bergamot::batch
