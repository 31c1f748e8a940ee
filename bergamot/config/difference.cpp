#include "bergamot/config/difference.h"

namespace bergamot
{

namespace
{

using web::json::value;

template<typename Entries>
value entryOrNull(const Entries &entries, const typename Entries::key_type &id)
{
    const auto found = entries.find(id);
    return found == entries.end() ? value::null() : toJson(found->second);
}

template<typename Entries>
void addChanges(const std::string &kind,
                const Entries &from,
                const Entries &to,
                std::vector<ConfigurationChange> &changes)
{
    Entries allEntries = from;
    allEntries.insert(to.begin(), to.end());
    for (const auto &[id, entry] : allEntries) {
        const auto before = from.find(id);
        const auto after = to.find(id);
        if (before != from.end() && after != to.end() && before->second == after->second) {
            continue;
        }
        changes.push_back({kind, id.value(), entryOrNull(from, id), entryOrNull(to, id)});
    }
}

value domainsToJson(const std::vector<FailureDomainId> &domains)
{
    value json = value::array();
    for (const FailureDomainId &domain : domains) {
        json[json.size()] = value(domain.value());
    }
    return json;
}

} // namespace

std::vector<ConfigurationChange> difference(const Configuration &from, const Configuration &to)
{
    std::vector<ConfigurationChange> changes;
    if (from.domains != to.domains) {
        changes.push_back({"domains", "", domainsToJson(from.domains), domainsToJson(to.domains)});
    }
    addChanges("model", from.models, to.models, changes);
    addChanges("trainer", from.trainers, to.trainers, changes);
    addChanges("service", from.services, to.services, changes);
    return changes;
}

value toJson(const ConfigurationChange &change)
{
    value json = value::object();
    json["kind"] = value(change.kind);
    json["name"] = value(change.name);
    json["from"] = change.from;
    json["to"] = change.to;
    return json;
}

} // namespace bergamot
