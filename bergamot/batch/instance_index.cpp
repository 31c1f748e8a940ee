#include "bergamot/batch/instance_index.h"

namespace bergamot::batch
{

void InstanceIndex::apply(const Instance &instance, TimePoint now)
{
    std::erase_if(m_instances, [&](const auto &entry) {
        return entry.first == instance.name || entry.second.address == instance.address;
    });
    std::erase_if(m_seenAt, [this](const auto &entry) {
        return !m_instances.contains(entry.first);
    });
    if (instance.stopping) {
        return;
    }
    m_instances[instance.name] = instance;
    m_seenAt[instance.name] = now;
}

void InstanceIndex::expire(TimePoint now)
{
    std::erase_if(m_instances, [&](const auto &entry) {
        return now - m_seenAt.at(entry.first) > m_options.retention;
    });
    std::erase_if(m_seenAt, [&](const auto &entry) {
        return !m_instances.contains(entry.first);
    });
}

void InstanceIndex::logRecovered(Duration outage)
{
    for (auto &[name, at] : m_seenAt) {
        at += outage;
    }
}

std::vector<KnownInstance> InstanceIndex::state(TimePoint now) const
{
    std::vector<KnownInstance> state;
    for (const auto &[name, instance] : m_instances) {
        state.push_back({.instance = instance, .age = now - m_seenAt.at(name)});
    }
    return state;
}

void InstanceIndex::restore(const std::vector<KnownInstance> &instances, TimePoint now)
{
    m_instances.clear();
    m_seenAt.clear();
    for (const KnownInstance &known : instances) {
        apply(known.instance, now - known.age);
    }
}

} // namespace bergamot::batch
