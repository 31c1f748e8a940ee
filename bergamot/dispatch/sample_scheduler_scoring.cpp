// Scoring of complete texts.

#include "bergamot/dispatch/sample_scheduler.h"

namespace bergamot::dispatch
{

void SampleScheduler::completeText(const ItemKey &key, ItemState &item, TimePoint now)
{
    item.complete = true;
    if (!item.item.scoring) {
        commitResult(key, item, true);
        return;
    }
    BatchState &batch = m_batches[key.batch];
    const bool othersWait = !batch.awaitingScore.empty() || !batch.awaitingScoreWithoutContent.empty();
    if (!item.source.hasContent) {
        setStage(batch, item, Stage::AwaitingScore);
        item.nextScoringAt = now;
        m_nextContentReview = now;
        return;
    }
    if (m_options.mayScore && (othersWait || !m_options.mayScore(item.item))) {
        setStage(batch, item, Stage::AwaitingScore);
        item.nextScoringAt = now;
        return;
    }
    setStage(batch, item, Stage::Scoring);
    m_actions.emplace_back(StartScoring{key});
}

void SampleScheduler::startDueScorings(TimePoint now)
{
    for (BatchState *batch : batchesByUrgency(now, [](const BatchState &candidate) {
             return !candidate.awaitingScore.empty();
         })) {
        std::set<std::string_view> refusedRoutes; // of scoring calls that may not be sent now
        for (const std::uint32_t index : dueScorings(*batch, now)) {
            ItemState &item = batch->items[index];
            const ItemPolicy *policy = policyOf(*batch, item);
            const std::string_view route = policy == nullptr ? std::string_view() : policy->scoringRoute;
            if (refusedRoutes.contains(route)) {
                continue;
            }
            if (m_options.mayScore && !m_options.mayScore(item.item)) {
                refusedRoutes.insert(route);
                continue;
            }
            setStage(*batch, item, Stage::Scoring);
            m_actions.emplace_back(StartScoring{{batch->id, index}});
        }
    }
}

std::vector<std::uint32_t> SampleScheduler::dueScorings(const BatchState &batch, TimePoint now)
{
    std::vector<std::uint32_t> due;
    for (const std::uint32_t position : batch.awaitingScore) {
        const std::uint32_t index = batch.startOrder[position];
        if (now >= batch.items[index].nextScoringAt) {
            due.push_back(index);
        }
    }
    std::map<std::string, std::size_t> openItems; // by group
    for (std::uint32_t index = 0; index < batch.items.size(); ++index) {
        const Stage stage = batch.items[index].stage;
        openItems[batch.groups[index]] += stage != Stage::Committing && stage != Stage::Done ? 1 : 0;
    }
    std::stable_sort(due.begin(), due.end(), [&](std::uint32_t left, std::uint32_t right) {
        const auto key = [&](std::uint32_t index) {
            return std::tuple(openItems[batch.groups[index]], std::string_view(batch.groups[index]));
        };
        return key(left) < key(right);
    });
    return due;
}

void SampleScheduler::scoringEnded(
    const ItemKey &key, ScoringOutcome outcome, const std::string &score, TimePoint now, Duration retryAfter)
{
    ItemState *item = findItem(key);
    if (item == nullptr || item->stage != Stage::Scoring) {
        return;
    }
    BatchState &batch = m_batches[key.batch];
    if (outcome == ScoringOutcome::Scored) {
        commitResult(key, *item, true);
        std::get<CommitResult>(m_actions.back()).result.score = score;
        return;
    }
    const ItemPolicy *policy = policyOf(batch, *item);
    item->scoringFailures += outcome == ScoringOutcome::Failed ? 1 : 0;
    const bool failedForGood = policy != nullptr && item->scoringFailures >= policy->maxScoringFailures;
    if (outcome == ScoringOutcome::Failed && failedForGood) {
        commitIncompleteResult(key, *item);
        return;
    }
    setStage(batch, *item, Stage::AwaitingScore);
    item->nextScoringAt = now + std::max(m_options.scoringRetryDelay, retryAfter);
}

} // namespace bergamot::dispatch
