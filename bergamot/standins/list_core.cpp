#include "bergamot/standins/list_core.h"

namespace bergamot
{

ListCore::ListCore(Duration lag)
    : m_lag(lag)
    , m_faults({"fetch"})
{ }

void ListCore::put(const ListedMember &member, TimePoint now)
{
    m_truth[member.id] = member;
    change(member.id, member, now);
}

Result<void> ListCore::setState(const std::string &id, ListedState state, TimePoint now)
{
    const auto found = m_truth.find(id);
    if (found == m_truth.end()) {
        return failure(ErrorCode::NotFound, "id '" + id + "' is not listed; register it first");
    }
    found->second.state = state;
    change(id, found->second, now);
    return {};
}

void ListCore::remove(const std::string &id, TimePoint now)
{
    m_truth.erase(id);
    change(id, std::nullopt, now);
}

void ListCore::change(const std::string &id, std::optional<ListedMember> member, TimePoint now)
{
    m_changes.push_back({now + m_lag, id, std::move(member)});
}

Answer<std::vector<ListedMember>> ListCore::fetch(TimePoint now)
{
    if (const std::optional<Error> refused = m_faults.refusal("fetch")) {
        return {tl::unexpected(*refused)};
    }
    while (!m_changes.empty() && m_changes.front().visible <= now) {
        const Change &due = m_changes.front();
        if (due.member) {
            m_visible[due.id] = *due.member;
        } else {
            m_visible.erase(due.id);
        }
        m_changes.pop_front();
    }
    std::vector<ListedMember> members;
    for (const auto &[id, member] : m_visible) {
        members.push_back(member);
    }
    return m_faults.answer<std::vector<ListedMember>>("fetch", std::move(members));
}

void ListCore::setLag(Duration lag)
{
    m_lag = lag;
}

Result<void> ListCore::apply(const FaultCommand &command)
{
    if (command.fault != "lag") {
        return m_faults.apply(command);
    }
    setLag(command.duration);
    return {};
}

} // namespace bergamot
