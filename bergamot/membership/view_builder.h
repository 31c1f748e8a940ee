#pragma once

// The endpoints as they can be used: the platform's list, corrected by what the instances' polls found. An endpoint
// that refuses is unreachable although it is listed; one that says itself that it is leaving is leaving at once.
//
//     ViewBuilder builder(domain);
//     builder.setList(list);
//     builder.report("i3", report, now);
//     for (const inner::EndpointT &endpoint : builder.endpoints(now)) { ... }

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "bergamot/base/clock.h"
#include "bergamot/base/ids.h"
#include "bergamot/platform/instance_list.h"
#include "bergamot/protocol/generated/inner_generated.h"

namespace bergamot
{

/// Unit in which loads tell their age.
inline constexpr std::chrono::milliseconds LoadAgeUnit{100};
/// Age of a load that is not known; the greatest that can be told.
inline constexpr std::chrono::milliseconds UnknownLoadAge = 255 * LoadAgeUnit;

struct ViewBuilderOptions
{
    Duration reportLifetime = std::chrono::seconds(8); // a poller that is silent for so long is not believed
    std::size_t remoteEndpointsPerService = 16; // of other domains, shown for each model or service, shared evenly
};

/// Not thread-safe.
class ViewBuilder
{
public:
    explicit ViewBuilder(FailureDomainId domain, ViewBuilderOptions options = {});

    void setList(std::vector<ListedMember> list);
    bool hasList() const;
    /// A list made of a peer's rows, for an instance that has none of its own yet.
    void adoptList(const std::vector<inner::EndpointT> &endpoints);

    /// What `poller` found, apart from the load. Returns true if that is news.
    bool report(const std::string &poller, const inner::EndpointReportT &report, TimePoint now);
    /// What another relay has shown of the endpoint; believed until a poller has reported it here.
    void inherit(const inner::EndpointT &endpoint, TimePoint now);
    /// The loads that `poller` found; they also show that its earlier reports still hold.
    void reportLoads(const std::string &poller, const std::vector<inner::PolledLoad> &loads, TimePoint now);
    /// The loads that another domain told of its endpoints.
    void remoteLoads(const std::vector<inner::PolledLoad> &loads, TimePoint now);
    /// Drops reports of pollers that went silent.
    void expire(TimePoint now);

    /// Every endpoint of the domain, and a choice of the other domains', by id.
    std::vector<inner::EndpointT> endpoints(TimePoint now) const;
    /// What is known of those endpoints of this domain that other domains show.
    std::vector<inner::EndpointReportT> reportsForOthers(TimePoint now) const;
    /// The loads of the endpoints in `reports`, where they are known, with their present age.
    std::vector<inner::PolledLoad> loadsOf(const std::vector<inner::EndpointReportT> &reports, TimePoint now) const;

private:
    struct Finding
    {
        inner::EndpointReportT report;
        TimePoint changedAt{};
        TimePoint heardAt{};
    };
    struct Load
    {
        inner::PolledLoad load;
        TimePoint heardAt{};
    };

    void correct(inner::EndpointT &endpoint, TimePoint now) const;
    void addLoad(inner::EndpointT &endpoint, TimePoint now) const;
    static std::chrono::milliseconds ageOf(const Load &load, TimePoint now);
    std::size_t shownPerDomain() const;

    FailureDomainId m_domain;
    ViewBuilderOptions m_options;
    bool m_hasList = false;
    std::vector<ListedMember> m_list; // endpoints only, by id
    std::map<std::string, std::map<std::string, Finding>> m_findings; // by endpoint, then poller
    std::map<std::uint32_t, Load> m_loads; // by hash of the endpoint's id
};

/// The key under which polled loads name an endpoint.
std::uint32_t endpointHash(const std::string &endpoint);

} // namespace bergamot
