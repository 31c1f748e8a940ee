#include "bergamot/samples/suspect_prompts.h"

#include "bergamot/base/prompt_fingerprint.h"

namespace bergamot
{

namespace
{

constexpr std::size_t MinEnginesToRefuse = 2; // the same limit as in the entry processes

} // namespace

std::vector<SuspectGroup> SuspectPrompts::groupsOf(const SuspectReport &report) const
{
    std::vector<SuspectGroup> result;
    const auto groups = m_groups.find(report.fingerprint);
    if (groups == m_groups.end()) {
        return result;
    }
    const bool refused = !report.cleared && report.ranAlone && report.endpoints.size() >= MinEnginesToRefuse;
    for (const GroupKey &group : groups->second) {
        result.push_back({.group = group, .engines = report.endpoints, .refused = refused, .cleared = report.cleared});
    }
    return result;
}

std::vector<SuspectGroup> SuspectPrompts::addStep(const StepKey &key, const ModelId &model, const StepSpec &spec)
{
    std::vector<SuspectGroup> result;
    for (std::uint32_t i = 0; i < spec.groups.size(); ++i) {
        const GroupKey group{key, i};
        const std::uint64_t fingerprint = promptFingerprint(model.value(), spec.groups[i].prompt);
        m_groups[fingerprint].insert(group);
        m_fingerprints[group] = fingerprint;
        const auto known = m_domainReports.find(fingerprint);
        if (known == m_domainReports.end() || known->second.cleared) {
            continue;
        }
        for (SuspectGroup &suspect : groupsOf(known->second)) {
            if (suspect.group == group) {
                result.push_back(std::move(suspect));
            }
        }
    }
    return result;
}

void SuspectPrompts::removeStep(const StepKey &key)
{
    for (auto entry = m_fingerprints.lower_bound({key, 0});
         entry != m_fingerprints.end() && entry->first.step == key;) {
        const auto groups = m_groups.find(entry->second);
        groups->second.erase(entry->first);
        if (groups->second.empty()) {
            m_groups.erase(groups);
        }
        entry = m_fingerprints.erase(entry);
    }
}

std::vector<SuspectGroup> SuspectPrompts::mergeReports(const std::vector<SuspectReport> &reports)
{
    std::vector<SuspectGroup> changed;
    std::map<std::uint64_t, SuspectReport> known;
    for (const SuspectReport &report : reports) {
        const auto before = m_domainReports.find(report.fingerprint);
        if (before == m_domainReports.end() || before->second != report) {
            const std::vector<SuspectGroup> groups = groupsOf(report);
            changed.insert(changed.end(), groups.begin(), groups.end());
        }
        known[report.fingerprint] = report;
    }
    m_domainReports = std::move(known);
    return changed;
}

void SuspectPrompts::recordCrash(const GroupKey &group, const std::set<EndpointId> &engines, bool givenUp)
{
    if (const auto found = m_fingerprints.find(group); found != m_fingerprints.end()) {
        m_pendingReports.push_back({.fingerprint = found->second, .endpoints = engines, .ranAlone = givenUp});
    }
}

void SuspectPrompts::recordCleared(const GroupKey &group)
{
    if (const auto found = m_fingerprints.find(group); found != m_fingerprints.end()) {
        m_pendingReports.push_back({.fingerprint = found->second, .endpoints = {}, .cleared = true});
    }
}

std::vector<SuspectReport> SuspectPrompts::takeReports()
{
    return std::exchange(m_pendingReports, {});
}

} // namespace bergamot
