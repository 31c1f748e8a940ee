#pragma once

// The rules of the platform's instance list, without I/O: entries that become visible only after a lag.
//
//     ListCore list(std::chrono::seconds(1));
//     list.put(member, now);
//     Answer<std::vector<ListedMember>> members = list.fetch(now + std::chrono::seconds(1));

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "bergamot/platform/instance_list.h"
#include "bergamot/standins/faults.h"

namespace bergamot
{

/// Deterministic, single-threaded. Calls for faults: "fetch". A fault of its own: "lag" (`duration`, for changes made
/// from now on).
class ListCore
{
public:
    explicit ListCore(Duration lag = Duration::zero());

    /// Adds or replaces the entry of `member.id`.
    void put(const ListedMember &member, TimePoint now);
    /// `NotFound` if no entry has this id.
    Result<void> setState(const std::string &id, ListedState state, TimePoint now);
    /// An unknown id is no error.
    void remove(const std::string &id, TimePoint now);
    Answer<std::vector<ListedMember>> fetch(TimePoint now);

    /// Holds for changes made from now on.
    void setLag(Duration lag);
    Result<void> apply(const FaultCommand &command);

private:
    struct Change
    {
        TimePoint visible;
        std::string id;
        std::optional<ListedMember> member; // none: removed
    };

    void change(const std::string &id, std::optional<ListedMember> member, TimePoint now);

    Duration m_lag;
    FaultTable m_faults;
    std::map<std::string, ListedMember> m_truth;
    std::map<std::string, ListedMember> m_visible;
    std::deque<Change> m_changes; // not yet visible
};

} // namespace bergamot
