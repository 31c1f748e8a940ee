#pragma once

// Builds the view of the endpoints from the platform's instance list and the reports of the instances that poll them.
// An endpoint that refuses connections is unreachable although it is in the list; one that reports that it is leaving
// counts as leaving before the list says so.
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

/// Unit of the age of a load in reports.
inline constexpr std::chrono::milliseconds LoadAgeUnit{100};
/// Age that stands for an unknown load: the greatest that fits into a report.
inline constexpr std::chrono::milliseconds UnknownLoadAge = 255 * LoadAgeUnit;

struct ViewBuilderOptions
{
    Duration reportLifetime = std::chrono::seconds(8); // without a message from its poller a report expires
    std::size_t remoteEndpointsPerService = 16; // shown per model or service, shared evenly by the other domains
};

/// Not thread-safe.
class ViewBuilder
{
public:
    explicit ViewBuilder(FailureDomainId domain, ViewBuilderOptions options = {});

    /// Replaces the instance list; entries of instances are ignored.
    void setList(std::vector<ListedMember> list);
    bool hasList() const;
    /// Uses a peer's rows as the list until this instance has fetched the list itself; `hasList` does not change.
    void adoptList(const std::vector<inner::EndpointT> &endpoints);

    /// Applies a report of `poller`; loads are separate. Returns true if the report differs from the poller's last one.
    bool report(const std::string &poller, const inner::EndpointReportT &report, TimePoint now);
    /// Applies the endpoint's state as another relay had it. It is used until a poller reports the endpoint here.
    void addInitialReport(const inner::EndpointT &endpoint, TimePoint now);
    /// Applies the loads that `poller` measured. They also confirm its earlier reports.
    void reportLoads(const std::string &poller, const std::vector<inner::PolledLoad> &loads, TimePoint now);
    /// Applies the loads that another domain sent for its endpoints.
    void addLoads(const std::vector<inner::PolledLoad> &loads, TimePoint now);
    /// Removes expired reports and loads.
    void expire(TimePoint now);

    /// All endpoints of this domain and a subset of those of the other domains, sorted by id.
    std::vector<inner::EndpointT> endpoints(TimePoint now) const;
    /// The reports of those endpoints of this domain that the other domains may show.
    std::vector<inner::EndpointReportT> reportsForOtherDomains(TimePoint now) const;
    /// The known loads of the endpoints in `reports`, with their current age.
    std::vector<inner::PolledLoad> loadsOf(const std::vector<inner::EndpointReportT> &reports, TimePoint now) const;

private:
    struct Finding
    {
        inner::EndpointReportT report;
        TimePoint changedAt{};
        TimePoint receivedAt{};
    };
    struct Load
    {
        inner::PolledLoad load;
        TimePoint receivedAt{};
    };

    void applyReports(inner::EndpointT &endpoint, TimePoint now) const;
    void addLoad(inner::EndpointT &endpoint, TimePoint now) const;
    static std::chrono::milliseconds ageOf(const Load &load, TimePoint now);
    std::size_t maxShownPerDomain() const;

    FailureDomainId m_domain;
    ViewBuilderOptions m_options;
    bool m_hasList = false;
    std::vector<ListedMember> m_list; // endpoints only; `setList` sorts them by rendezvous weight for this domain
    std::map<std::string, std::map<std::string, Finding>> m_findings; // by endpoint id, then poller
    std::map<std::uint32_t, Load> m_loads; // by `endpointHash`
};

/// The hash that identifies an endpoint in `PolledLoad`.
std::uint32_t endpointHash(const std::string &endpoint);

} // namespace bergamot
