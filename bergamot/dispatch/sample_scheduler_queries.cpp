// Read-only queries of the scheduler's state.

#include <algorithm>
#include <numeric>

#include "bergamot/dispatch/sample_scheduler.h"

namespace bergamot::dispatch
{

std::vector<SampleScheduler::EngineStatus> SampleScheduler::engineStatuses(TimePoint now) const
{
    std::vector<EngineStatus> loads;
    for (const auto &[id, engine] : m_engines) {
        loads.push_back({.id = id,
                         .service = engine.description.service,
                         .address = engine.description.address,
                         .versions = engine.versions,
                         .runs = static_cast<std::uint32_t>(engine.runs.size()),
                         .slots = engine.description.slots,
                         .loading = !engine.loadingModel.empty(),
                         .acceptsRuns = !engine.description.draining && now >= engine.notBefore,
                         .draining = engine.description.draining});
    }
    return loads;
}

const batch::Item *SampleScheduler::item(const ItemKey &key) const
{
    const auto found = m_batches.find(key.batch);
    return found == m_batches.end() || key.item >= found->second.items.size() ? nullptr
                                                                              : &found->second.items[key.item].item;
}

const std::string *SampleScheduler::batchHost(const std::string &batch) const
{
    const auto found = m_batches.find(batch);
    return found == m_batches.end() ? nullptr : &found->second.host;
}

std::size_t SampleScheduler::waitingItems() const
{
    return std::accumulate(m_batches.begin(), m_batches.end(), std::size_t{0}, [](std::size_t sum, const auto &entry) {
        return sum + entry.second.waiting.size() + entry.second.waitingWithoutContent.size();
    });
}

std::size_t SampleScheduler::awaitingScoring() const
{
    std::size_t count = 0;
    for (const auto &[id, batch] : m_batches) {
        count += batch.awaitingScore.size() + batch.awaitingScoreWithoutContent.size();
    }
    return count;
}

std::size_t SampleScheduler::waitingItems(const std::string &model) const
{
    std::size_t count = 0;
    for (const auto &[id, batch] : m_batches) {
        count += batch.model == model ? batch.waiting.size() + batch.waitingWithoutContent.size() : 0;
    }
    return count;
}

std::size_t SampleScheduler::runsInFlight() const
{
    return m_runs.size();
}

std::uint64_t SampleScheduler::requiredVersion(const std::string &model) const
{
    std::uint64_t required = 0;
    for (const auto &[id, batch] : m_batches) {
        if (batch.model == model) {
            required = std::max(required, batch.minVersion);
        }
    }
    return required;
}

bool SampleScheduler::allowsMixedVersions(const std::string &model) const
{
    return std::none_of(m_batches.begin(), m_batches.end(), [&model](const auto &entry) {
        const BatchState &batch = entry.second;
        return batch.model == model
            && (batch.policies.empty()
                || std::any_of(batch.policies.begin(), batch.policies.end(), [](const ItemPolicy &policy) {
                       return policy.singleVersion;
                   }));
    });
}

std::vector<SampleScheduler::ServiceDemand>
SampleScheduler::serviceDemandsOf(const std::vector<const BatchState *> &batches)
{
    struct Count
    {
        std::size_t open = 0;
        std::size_t waiting = 0;
    };
    std::map<std::set<std::string>, Count> counts;
    std::size_t open = 0;
    for (const BatchState *batch : batches) {
        std::vector<Count> byPolicy(batch->policies.size());
        for (const ItemState &item : batch->items) {
            if (item.policy != NoPolicy && item.stage != Stage::Done) {
                ++byPolicy[item.policy].open;
                byPolicy[item.policy].waiting += item.stage == Stage::Waiting ? 1 : 0;
            }
        }
        for (std::size_t policy = 0; policy < byPolicy.size(); ++policy) {
            const std::vector<std::string> &services = batch->policies[policy].services;
            Count &count = counts[{services.begin(), services.end()}];
            count.open += byPolicy[policy].open;
            count.waiting += byPolicy[policy].waiting;
            open += byPolicy[policy].open;
        }
    }
    std::vector<ServiceDemand> demands;
    for (const auto &[services, count] : counts) {
        if (count.open > 0) {
            demands.push_back({.services = services,
                               .share = static_cast<double>(count.open) / static_cast<double>(open),
                               .waitingSamples = count.waiting});
        }
    }
    return demands;
}

std::vector<SampleScheduler::ServiceDemand> SampleScheduler::serviceDemands(const std::string &model) const
{
    std::vector<const BatchState *> batches;
    for (const auto &[id, batch] : m_batches) {
        if (batch.model == model) {
            batches.push_back(&batch);
        }
    }
    std::vector<ServiceDemand> demands = serviceDemandsOf(batches);
    const auto known = m_modelStatistics.find(model);
    if (demands.empty() && known != m_modelStatistics.end()) {
        demands = known->second.demands;
        for (ServiceDemand &demand : demands) {
            demand.waitingSamples = 0;
        }
    }
    if (demands.empty()) {
        demands.push_back({.waitingSamples = waitingItems(model)});
    }
    return demands;
}

bool SampleScheduler::hasBatch(const std::string &batch) const
{
    return m_batches.contains(batch);
}

double SampleScheduler::peakSamples(const std::string &model) const
{
    const auto found = m_modelStatistics.find(model);
    return found == m_modelStatistics.end() ? 0 : found->second.peakOpenItems;
}

double SampleScheduler::slotSecondsPerBatch(const std::string &model) const
{
    const auto found = m_modelStatistics.find(model);
    return found == m_modelStatistics.end() ? 0 : found->second.itemsPerBatch * found->second.secondsPerItem;
}

} // namespace bergamot::dispatch
