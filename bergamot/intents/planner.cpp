#include "bergamot/intents/planner.h"

#include "bergamot/config/difference.h"

namespace bergamot
{

namespace
{

using std::chrono::milliseconds;
using web::json::value;

constexpr std::uint32_t Whole = 100;

std::uint64_t ceilDivide(std::uint64_t dividend, std::uint64_t divisor)
{
    return (dividend + divisor - 1) / divisor;
}

template<typename Entries>
const typename Entries::mapped_type *entry(const Entries &entries, const typename Entries::key_type &id)
{
    const auto found = entries.find(id);
    return found == entries.end() ? nullptr : &found->second;
}

class Forecaster
{
public:
    Forecaster(const Configuration &before,
               const Configuration &after,
               const FleetSnapshot &fleet,
               const PlannerOptions &options)
        : m_before(before)
        , m_after(after)
        , m_fleet(fleet)
        , m_options(options)
    { }

    PlanForecast run()
    {
        for (const auto &[id, model] : m_after.models) {
            addModel(model);
        }
        for (const auto &[id, trainer] : m_after.trainers) {
            addTrainer(trainer);
        }
        addGeneralWarnings();
        return std::move(m_forecast);
    }

private:
    PublishedWeights published(const ModelId &model) const
    {
        const PublishedWeights *known = entry(m_fleet.published, model);
        return known != nullptr ? *known : PublishedWeights{};
    }

    void addModel(const ModelConfig &model)
    {
        const ModelConfig *old = entry(m_before.models, model.model);
        if (old != nullptr && *old == model) {
            return;
        }
        const PublishedWeights weights = published(model.model);
        const WeightVersion target = model.version != 0 ? model.version : weights.newest;
        warnAboutVersion(model, weights);
        std::map<FailureDomainId, CapacityCost> costs = capacityByDomain(model.model, target);
        if (costs.empty()) {
            warn("no live engine serves model '" + model.model.value() + "'; its requests will be refused");
        }
        std::uint64_t touched = 0;
        std::uint64_t atOnce = 0;
        for (auto &[domain, cost] : costs) {
            limitByFloor(model, cost);
            touched += cost.touched;
            atOnce += cost.outAtOnce;
            m_forecast.capacity.push_back(cost);
        }
        addSwaps(model.model, touched, std::min(atOnce, std::max<std::uint64_t>(1, weights.concurrentFetches)));
    }

    std::map<FailureDomainId, CapacityCost> capacityByDomain(const ModelId &model, WeightVersion target) const
    {
        std::map<FailureDomainId, CapacityCost> costs;
        for (const FleetEngine &engine : m_fleet.engines) {
            if (engine.model != model) {
                continue;
            }
            CapacityCost &cost = costs[engine.domain];
            cost.model = model;
            cost.domain = engine.domain;
            ++cost.engines;
            cost.touched += engine.version < target ? 1 : 0;
        }
        return costs;
    }

    void limitByFloor(const ModelConfig &model, CapacityCost &cost)
    {
        const auto floor =
            static_cast<std::uint32_t>(ceilDivide(std::uint64_t{cost.engines} * model.capacityFloorPercent, Whole));
        cost.outAtOnce = std::min(cost.touched, cost.engines - floor);
        cost.lostPercent = cost.outAtOnce * Whole / cost.engines;
        if (cost.touched > 0 && cost.outAtOnce == 0) {
            warn("the capacity floor of model '" + model.model.value() + "' leaves none of its "
                 + std::to_string(cost.engines) + " engines in '" + cost.domain.value()
                 + "' free to swap; lower capacity_floor_percent or add engines");
        }
    }

    void addSwaps(const ModelId &model, std::uint64_t touched, std::uint64_t atOnce)
    {
        if (touched == 0 || atOnce == 0) {
            return;
        }
        const milliseconds duration = m_options.engineLoadTime * ceilDivide(touched, atOnce);
        m_forecast.enginesTouched += static_cast<std::uint32_t>(touched);
        m_forecast.storeFetches += static_cast<std::uint32_t>(touched);
        m_forecast.duration = std::max(m_forecast.duration, duration);
        m_swapTime[model] = duration;
        m_idleTime[model] = m_options.engineLoadTime * touched / engineCount(model);
    }

    std::uint64_t engineCount(const ModelId &model) const
    {
        const auto count =
            std::count_if(m_fleet.engines.begin(), m_fleet.engines.end(), [&](const FleetEngine &engine) {
                return engine.model == model;
            });
        return std::max<std::uint64_t>(1, static_cast<std::uint64_t>(count));
    }

    void addTrainer(const TrainerConfig &trainer)
    {
        const TrainerConfig *old = entry(m_before.trainers, trainer.trainer);
        const auto swap = m_swapTime.find(trainer.model);
        if (swap == m_swapTime.end() && old != nullptr && *old == trainer) {
            return;
        }
        TrainerCost cost{trainer.trainer, 0, trainer.stalenessBound};
        if (swap != m_swapTime.end()) {
            // While engines swap, some still generate with the version before; each further publication adds one.
            cost.predictedStaleness = 1 + static_cast<std::uint64_t>(swap->second / m_options.publicationInterval);
            cost.predictedIdle = m_idleTime.at(trainer.model);
        }
        if (old != nullptr && old->sharePercent != trainer.sharePercent && trainer.sharePercent != 0) {
            cost.stepTimeChangePercent = std::int64_t{old->sharePercent} * Whole / trainer.sharePercent - Whole;
        }
        warnAboutTrainer(trainer, cost);
        m_forecast.trainers.push_back(cost);
    }

    void warnAboutVersion(const ModelConfig &model, const PublishedWeights &weights)
    {
        if (model.version > weights.newest) {
            warn("version " + std::to_string(model.version) + " of model '" + model.model.value()
                 + "' is not published yet (newest: " + std::to_string(weights.newest) + "); engines swap when it is");
        }
        if (model.version != 0 && model.version < weights.newest) {
            warn("model '" + model.model.value() + "' is pinned below the newest published version "
                 + std::to_string(weights.newest) + "; engines that have a newer one keep it");
        }
    }

    void warnAboutTrainer(const TrainerConfig &trainer, const TrainerCost &cost)
    {
        const std::string name = "trainer '" + trainer.trainer.value() + "'";
        if (cost.predictedStaleness > trainer.stalenessBound) {
            warn(name + " allows samples " + std::to_string(trainer.stalenessBound)
                 + " versions old, but the swap makes some " + std::to_string(cost.predictedStaleness)
                 + "; those are generated again, which costs idle time");
        }
        if (trainer.sharePercent == 0) {
            warn(name + " is promised no share of the engines and may wait without limit");
        }
    }

    void addGeneralWarnings()
    {
        if (difference(m_before, m_after).empty()) {
            warn("the intent changes nothing");
        }
        if (m_after.domains.empty()) {
            warn("no failure domains are set; requests with an idempotency key are refused until they are");
        }
    }

    void warn(std::string text)
    {
        m_forecast.warnings.push_back(std::move(text));
    }

    const Configuration &m_before;
    const Configuration &m_after;
    const FleetSnapshot &m_fleet;
    const PlannerOptions &m_options;
    std::map<ModelId, milliseconds> m_swapTime;
    std::map<ModelId, milliseconds> m_idleTime;
    PlanForecast m_forecast;
};

value toJson(const CapacityCost &cost)
{
    value json = value::object();
    json["model"] = value(cost.model.value());
    json["domain"] = value(cost.domain.value());
    json["engines"] = value::number(cost.engines);
    json["touched"] = value::number(cost.touched);
    json["out_at_once"] = value::number(cost.outAtOnce);
    json["lost_percent"] = value::number(cost.lostPercent);
    return json;
}

value toJson(const TrainerCost &cost)
{
    value json = value::object();
    json["trainer"] = value(cost.trainer.value());
    json["predicted_staleness"] = value::number(cost.predictedStaleness);
    json["staleness_bound"] = value::number(cost.stalenessBound);
    json["predicted_idle_ms"] = value::number(static_cast<std::int64_t>(cost.predictedIdle.count()));
    json["step_time_change_percent"] = value::number(cost.stepTimeChangePercent);
    return json;
}

} // namespace

PlanForecast planChange(const Configuration &before,
                        const Configuration &after,
                        const FleetSnapshot &fleet,
                        const PlannerOptions &options)
{
    return Forecaster(before, after, fleet, options).run();
}

value toJson(const PlanForecast &forecast)
{
    value json = value::object();
    json["engines_touched"] = value::number(forecast.enginesTouched);
    json["store_fetches"] = value::number(forecast.storeFetches);
    json["duration_ms"] = value::number(static_cast<std::int64_t>(forecast.duration.count()));
    value capacity = value::array();
    for (const CapacityCost &cost : forecast.capacity) {
        capacity[capacity.size()] = toJson(cost);
    }
    json["capacity"] = capacity;
    value trainers = value::array();
    for (const TrainerCost &cost : forecast.trainers) {
        trainers[trainers.size()] = toJson(cost);
    }
    json["trainers"] = trainers;
    return json;
}

} // namespace bergamot
