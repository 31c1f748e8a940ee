#pragma once

// The configuration as a fold over the stream "config". An "intent" record makes a plan; the first "confirm" record
// that finds the plan's base version still current puts it in force and supersedes every other plan.
//
//     fold.apply(stored);
//     fold.configuration().version;
//     fold.findPlan(plan)->state;

#include <map>
#include <string>

#include "bergamot/config/configuration.h"
#include "bergamot/intents/intent.h"
#include "bergamot/intents/plan_entry.h"
#include "bergamot/journal/fold.h"
#include "bergamot/journal/record_dedup.h"

namespace bergamot
{

/// The stream of intents and confirmations.
inline constexpr std::string_view ConfigurationStream = "config";

/// Payload of an "intent" record.
std::string intentPayload(const Intent &intent,
                          std::uint64_t baseVersion,
                          const web::json::value &cost,
                          const std::vector<std::string> &warnings);

/// Payload of a "confirm" record.
std::string confirmPayload(const PlanId &plan, const std::string &operatorName);

/// Identifies what an intent asks for: equal for equal intents.
std::string intentDigest(const Intent &intent);

class ConfigurationFold final : public StreamFold
{
public:
    /// Outcomes of this many intents are kept, the newest ones.
    static constexpr std::size_t MaxPlans = 512;

    void apply(const StoredRecord &stored) override;
    Offset applied() const override;
    std::string checkpoint() const override;
    Result<void> restore(const std::string &checkpoint, Offset offset) override;

    const Configuration &configuration() const;
    /// Null if the intent is not known, or too old.
    const PlanEntry *findIntent(const IntentId &intent) const;
    const PlanEntry *findPlan(const PlanId &plan) const;
    /// The plans by the order of their intents in the log.
    const std::map<Offset, PlanEntry> &plans() const;

private:
    void applyIntentRecord(const StoredRecord &stored);
    void applyConfirmRecord(const StoredRecord &stored);
    void plan(PlanEntry &entry, const Intent &intent) const;
    void supersedeOnArrival(PlanEntry &entry) const;
    void confirm(PlanEntry &entry, const std::string &operatorName, Offset offset);
    void collide(PlanEntry &loser);
    void supersedeOthers(const PlanEntry &winner);
    void insert(PlanEntry entry);
    PlanEntry *find(const IntentId &intent);

    Configuration m_configuration;
    std::map<Offset, PlanEntry> m_plans;
    std::map<IntentId, Offset> m_offsets;
    RecordDedup m_dedup;
    Offset m_applied = 0;
};

} // namespace bergamot
