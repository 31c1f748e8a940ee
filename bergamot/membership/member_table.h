#pragma once

// The instances of the fleet, and which of them are considered present. Messages from an instance itself take
// precedence over a relay's statuses, and those over the platform's instance list.
//
//     MemberTable members({.instance = self, .domain = domain}, times);
//     members.recordContact(sender, now);
//     const std::vector<InstanceId> live = members.eligible(domain, now);

#include <map>
#include <optional>
#include <vector>

#include "bergamot/base/address.h"
#include "bergamot/base/clock.h"
#include "bergamot/base/ids.h"
#include "bergamot/platform/instance_list.h"
#include "bergamot/protocol/generated/inner_generated.h"

namespace bergamot
{

struct Member
{
    InstanceId instance;
    FailureDomainId domain;
    std::string controlAddress = {};
    std::string entryAddress = {};
    std::uint64_t configVersion = 0;
    bool draining = false;
};

struct MemberTimeouts
{
    Duration absentAfter = std::chrono::seconds(5); // without a message an instance is considered absent
    Duration removeAfter = std::chrono::seconds(60); // until an absent instance that was never in the list is removed
    Duration avoidFor = std::chrono::seconds(10); // how long an instance that did not answer is not eligible
    std::uint32_t toleratedFailures = 2; // consecutive unanswered requests before it is avoided
};

/// Not thread-safe.
class MemberTable
{
public:
    MemberTable(Member self, MemberTimeouts times = {});

    const Member &self() const;
    void setDraining();
    void setConfigVersion(std::uint64_t version);

    /// The member itself sent a digest or an answer with its status.
    void recordContact(const Member &member, TimePoint now);
    /// The member answered a request of this instance, so it is present; the answer carries no status.
    void recordAnswer(const InstanceId &instance, TimePoint now);
    /// The member answered a request, with its own status.
    void recordAnswerWithStatus(const inner::MemberStatusT &status, TimePoint now);
    /// The member did not answer a request.
    void recordNoAnswer(const InstanceId &instance, TimePoint now);
    /// A relay sent the member's status.
    void applyRelayStatus(const inner::MemberStatusT &status, TimePoint now);
    /// A relay reported that the member was removed.
    void applyRelayRemoval(const InstanceId &instance);
    /// Applies the complete instance list of the platform.
    void applyList(const std::vector<ListedMember> &list, TimePoint now);
    /// From now on this instance itself detects which members of its domain are present. Members that a relay reported
    /// as present have the time `absentAfter` to report here.
    void startFailureDetection(TimePoint now);
    /// Applies the names of the instances of another domain that its relays report as absent.
    void applyRemoteAbsences(const FailureDomainId &domain, const std::vector<std::string> &names);

    /// Removes members that are absent and not in the instance list.
    void expire(TimePoint now);

    std::optional<Member> find(const InstanceId &instance) const;
    bool isPresent(const InstanceId &instance, TimePoint now) const;
    /// Present members of `domain` that are neither draining, listed as leaving, nor unresponsive, sorted by name.
    /// Includes this instance, also while it drains if there is no other.
    std::vector<InstanceId> eligible(const FailureDomainId &domain, TimePoint now) const;
    std::vector<FailureDomainId> domains() const;
    /// One row per member, this instance first; `silent_ms` is 0 for a present one.
    std::vector<inner::MemberStatusT> statuses(TimePoint now) const;

private:
    struct Entry
    {
        Member member;
        bool isListed = false;
        bool isListedLeaving = false;
        std::optional<bool> presentByRelay; // the status that a relay reported
        std::optional<TimePoint> lastContact;
        TimePoint firstSeen{};
        TimePoint lastListed{};
        std::uint32_t failures = 0; // consecutive unanswered requests
        TimePoint lastFailure{};
    };

    Entry &entryOf(const InstanceId &instance, const FailureDomainId &domain, TimePoint now);
    bool isPresent(const Entry &entry, TimePoint now) const;
    bool isAvoided(const Entry &entry, TimePoint now) const;
    Duration timeSinceContact(const Entry &entry, TimePoint now) const;

    Member m_self;
    MemberTimeouts m_timeouts;
    std::map<InstanceId, Entry> m_entries; // all members but this instance
};

} // namespace bergamot
