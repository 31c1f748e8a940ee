#include "bergamot/relay/peer_choice.h"

#include <vector>

namespace bergamot::relay
{

PeerChoice::PeerChoice(std::string instance, std::string zone, PeerChoiceOptions options, std::uint64_t seed)
    : m_instance(std::move(instance))
    , m_zone(std::move(zone))
    , m_options(options)
    , m_random(seed)
{ }

std::optional<batch::Instance> PeerChoice::choose(const std::map<std::string, batch::Instance> &instances,
                                                  const std::set<std::string> &tried,
                                                  TimePoint now)
{
    std::erase_if(m_avoidUntil, [now](const auto &entry) {
        return entry.second <= now;
    });
    std::vector<const batch::Instance *> sameDomain;
    std::vector<const batch::Instance *> all;
    for (const auto &[name, instance] : instances) {
        if (name == m_instance || !instance.reaches || tried.contains(name) || m_avoidUntil.contains(name)) {
            continue;
        }
        all.push_back(&instance);
        if (instance.zone == m_zone) {
            sameDomain.push_back(&instance);
        }
    }
    const std::vector<const batch::Instance *> &candidates =
        sameDomain.size() >= m_options.minInDomain ? sameDomain : all;
    if (candidates.empty()) {
        return std::nullopt;
    }
    std::uniform_int_distribution<std::size_t> draw(0, candidates.size() - 1);
    return *candidates[draw(m_random)];
}

void PeerChoice::failed(const std::string &peer, TimePoint now)
{
    m_avoidUntil[peer] = now + m_options.avoidance;
}

} // namespace bergamot::relay
