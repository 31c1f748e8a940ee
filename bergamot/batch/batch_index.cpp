#include "bergamot/batch/batch_index.h"

namespace bergamot::batch
{

namespace
{

constexpr int OpenBatchFactor = 2; // a batch without an end record is kept for this multiple of `resultRetention`

} // namespace

BatchChange BatchIndex::apply(const log::Record &record, TimePoint now)
{
    switch (record.payload_type()) {
    case log::Payload::BatchAccepted:
        return applyAccepted(*record.payload_as_BatchAccepted(), now);
    case log::Payload::ResultListed:
        return applyCommitted(*record.payload_as_ResultListed());
    case log::Payload::ProgressSaved:
        applySaved(*record.payload_as_ProgressSaved());
        return BatchChange::Nothing;
    case log::Payload::BatchEnd: {
        const auto found = m_batches.find(stringOrEmpty(record.payload_as_BatchEnd()->batch()));
        if (found == m_batches.end() || found->second.ended) {
            return BatchChange::Nothing;
        }
        found->second.ended = true;
        found->second.savedProgress.clear();
        return BatchChange::Ended;
    }
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
        const Duration retention =
            entry.second.ended ? m_options.resultRetention : m_options.resultRetention * OpenBatchFactor;
        return now - entry.second.acceptedAt > retention;
    });
}

BatchChange BatchIndex::applyAccepted(const log::BatchAccepted &accepted, TimePoint now)
{
    const auto [position, added] = m_batches.try_emplace(stringOrEmpty(accepted.batch()));
    if (!added) {
        return BatchChange::Nothing;
    }
    BatchEntry &entry = position->second;
    entry.tenant = stringOrEmpty(accepted.tenant());
    entry.host = stringOrEmpty(accepted.host());
    entry.path = stringOrEmpty(accepted.path());
    entry.step = accepted.step();
    entry.model = stringOrEmpty(accepted.model());
    entry.minVersion = accepted.min_version();
    entry.wantedGroups = accepted.wanted_groups();
    entry.totalItems = accepted.total_items();
    entry.partition = accepted.partition();
    if (accepted.parts() != nullptr) {
        entry.parts.assign(accepted.parts()->begin(), accepted.parts()->end());
    }
    entry.committed.resize(entry.totalItems);
    entry.acceptedAt = now;
    return BatchChange::Accepted;
}

BatchChange BatchIndex::applyCommitted(const log::ResultListed &committed)
{
    const auto found = m_batches.find(stringOrEmpty(committed.batch()));
    if (found == m_batches.end() || committed.item() >= found->second.committed.size()) {
        return BatchChange::Nothing;
    }
    BatchEntry &entry = found->second;
    if (entry.committed[committed.item()]) {
        return BatchChange::Nothing;
    }
    entry.committed[committed.item()] = true;
    entry.savedProgress.erase(committed.item());
    entry.results.push_back({.item = committed.item(), .payload = committed.payload()});
    return BatchChange::ResultCommitted;
}

void BatchIndex::applySaved(const log::ProgressSaved &saved)
{
    const auto found = m_batches.find(stringOrEmpty(saved.batch()));
    if (found == m_batches.end() || found->second.ended || saved.item() >= found->second.committed.size()) {
        return;
    }
    if (!found->second.committed[saved.item()]) {
        found->second.savedProgress[saved.item()].push_back(saved.payload());
    }
}

} // namespace bergamot::batch
