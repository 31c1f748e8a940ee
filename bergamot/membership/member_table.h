#pragma once

// The instances that this one knows of, and which of them it takes for present. What it hears from an instance itself
// goes before what a relay told it, and that before the platform's list.
//
//     MemberTable members({.instance = self, .domain = domain}, silence);
//     members.heard(digest.sender, status, now);
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

struct MemberTimes
{
    Duration silence = std::chrono::seconds(5); // without a word an instance counts as absent
    Duration forget = std::chrono::seconds(60); // absent and never listed, it is removed after so long
    Duration avoid = std::chrono::seconds(10); // how long an instance that did not answer is not asked again
    std::uint32_t toleratedFailures = 2; // unanswered requests in a row before it is avoided
};

/// Not thread-safe.
class MemberTable
{
public:
    MemberTable(Member self, MemberTimes times = {});

    const Member &self() const;
    void setDraining();
    void setConfigVersion(std::uint64_t version);

    /// The member itself sent a digest or an answer.
    void heard(const Member &member, TimePoint now);
    /// The member answered a request of ours, so it is there, whatever else is known of it.
    void answered(const InstanceId &instance, TimePoint now);
    /// The member answered and said this of itself.
    void answeredAs(const inner::MemberStatusT &status, TimePoint now);
    void unanswered(const InstanceId &instance, TimePoint now);
    /// A relay says so.
    void told(const inner::MemberStatusT &status, TimePoint now);
    void toldRemoved(const InstanceId &instance);
    /// The platform's list, whole.
    void listed(const std::vector<ListedMember> &list, TimePoint now);
    /// From now on this instance judges by itself who is present in its domain; all told present get one `silence` to
    /// report.
    void startJudging(TimePoint now);
    /// Names of instances of another domain that its own relays take for absent.
    void absentElsewhere(const FailureDomainId &domain, const std::vector<std::string> &names);

    /// Drops members that are absent and off the list.
    void expire(TimePoint now);

    std::optional<Member> find(const InstanceId &instance) const;
    bool isPresent(const InstanceId &instance, TimePoint now) const;
    /// Present members of `domain` that are not draining, this instance among them; those that do not answer are left
    /// out. In name order.
    std::vector<InstanceId> eligible(const FailureDomainId &domain, TimePoint now) const;
    std::vector<FailureDomainId> domains() const;
    /// One row per member; `silent_ms` is 0 for a present one.
    std::vector<inner::MemberStatusT> statuses(TimePoint now) const;

private:
    struct Entry
    {
        Member member;
        bool isListed = false;
        bool isListedLeaving = false;
        std::optional<bool> toldPresent; // by a relay
        std::optional<TimePoint> lastHeard;
        TimePoint firstSeen{};
        TimePoint lastListed{};
        std::uint32_t failures = 0; // requests in a row without an answer
        TimePoint lastFailure{};
    };

    Entry &entryOf(const InstanceId &instance, const FailureDomainId &domain, TimePoint now);
    bool isPresent(const Entry &entry, TimePoint now) const;
    bool isAvoided(const Entry &entry, TimePoint now) const;
    Duration silenceOf(const Entry &entry, TimePoint now) const;

    Member m_self;
    MemberTimes m_times;
    std::map<InstanceId, Entry> m_entries; // without this instance
};

} // namespace bergamot
