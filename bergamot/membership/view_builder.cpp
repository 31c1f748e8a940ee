#include "bergamot/membership/view_builder.h"

#include <set>

#include <algorithm>

#include "bergamot/base/hash.h"

namespace bergamot
{

namespace
{

constexpr std::string_view InitialReportPoller = "inherited/"; // the slash keeps it distinct from names of instances

inner::EndpointT toEndpoint(const ListedMember &member)
{
    inner::EndpointT endpoint;
    endpoint.id = member.id;
    endpoint.kind = member.kind == ListedKind::Engine ? inner::EndpointKind::Engine : inner::EndpointKind::Service;
    endpoint.serves = member.serves;
    endpoint.domain = member.domain.value();
    endpoint.address = toString(member.address);
    endpoint.leaving = member.state == ListedState::Leaving;
    endpoint.reachable = true;
    endpoint.slots = member.kind == ListedKind::Engine ? 1 : 0;
    endpoint.load_age_ms = UnknownLoadAge.count();
    return endpoint;
}

bool sameFinding(const inner::EndpointReportT &left, const inner::EndpointReportT &right)
{
    return left.reachable == right.reachable && left.leaving == right.leaving && left.version == right.version
        && left.loading == right.loading && left.slots == right.slots;
}

} // namespace

std::uint32_t endpointHash(const std::string &endpoint)
{
    return static_cast<std::uint32_t>(stableHash(endpoint));
}

ViewBuilder::ViewBuilder(FailureDomainId domain, ViewBuilderOptions options)
    : m_domain(std::move(domain))
    , m_options(options)
{ }

void ViewBuilder::setList(std::vector<ListedMember> list)
{
    std::erase_if(list, [](const ListedMember &member) {
        return member.kind == ListedKind::Instance;
    });
    // The weight depends on this domain, so that each domain shows a different subset of the endpoints of the others.
    std::sort(list.begin(), list.end(), [this](const ListedMember &left, const ListedMember &right) {
        return rendezvousWeight(m_domain.value(), left.id) < rendezvousWeight(m_domain.value(), right.id);
    });
    m_list = std::move(list);
    m_hasList = true;
}

bool ViewBuilder::hasList() const
{
    return m_hasList;
}

void ViewBuilder::adoptList(const std::vector<inner::EndpointT> &endpoints)
{
    m_list.clear();
    for (const inner::EndpointT &endpoint : endpoints) {
        const Result<Address> address = parseAddress(endpoint.address);
        if (!address) {
            continue;
        }
        const ListedKind kind =
            endpoint.kind == inner::EndpointKind::Engine ? ListedKind::Engine : ListedKind::Endpoint;
        const ListedState state = endpoint.leaving ? ListedState::Leaving : ListedState::Live;
        m_list.push_back({kind, endpoint.id, FailureDomainId(endpoint.domain), *address, state, endpoint.serves});
    }
}

bool ViewBuilder::report(const std::string &poller, const inner::EndpointReportT &report, TimePoint now)
{
    auto &findings = m_findings[report.endpoint];
    if (poller != InitialReportPoller) {
        findings.erase(std::string(InitialReportPoller));
    }
    auto [finding, isNew] = findings.try_emplace(poller);
    const bool isNews = isNew || !sameFinding(finding->second.report, report);
    if (isNews) {
        finding->second.changedAt = now;
    }
    finding->second.report = report;
    finding->second.receivedAt = now;
    return isNews;
}

void ViewBuilder::addInitialReport(const inner::EndpointT &endpoint, TimePoint now)
{
    if (const auto known = m_findings.find(endpoint.id); known != m_findings.end() && !known->second.empty()) {
        return;
    }
    inner::EndpointReportT shown;
    shown.endpoint = endpoint.id;
    shown.reachable = endpoint.reachable;
    shown.leaving = endpoint.leaving;
    shown.version = endpoint.version;
    shown.loading = endpoint.loading;
    shown.slots = endpoint.slots;
    report(std::string(InitialReportPoller), shown, now);
}

void ViewBuilder::reportLoads(const std::string &poller, const std::vector<inner::PolledLoad> &loads, TimePoint now)
{
    for (auto &[endpoint, findings] : m_findings) {
        if (const auto finding = findings.find(poller); finding != findings.end()) {
            finding->second.receivedAt = now;
        }
    }
    addLoads(loads, now);
}

void ViewBuilder::addLoads(const std::vector<inner::PolledLoad> &loads, TimePoint now)
{
    for (const inner::PolledLoad &load : loads) {
        m_loads[load.endpoint_hash()] = {load, now};
    }
}

void ViewBuilder::expire(TimePoint now)
{
    for (auto &[endpoint, findings] : m_findings) {
        std::erase_if(findings, [this, now](const auto &entry) {
            return now - entry.second.receivedAt > m_options.reportLifetime;
        });
    }
    std::erase_if(m_findings, [](const auto &entry) {
        return entry.second.empty();
    });
    std::erase_if(m_loads, [this, now](const auto &entry) {
        return now - entry.second.receivedAt > m_options.reportLifetime;
    });
}

std::size_t ViewBuilder::maxShownPerDomain() const
{
    std::set<FailureDomainId> domains{m_domain};
    for (const ListedMember &member : m_list) {
        domains.insert(member.domain);
    }
    const std::size_t others = std::max<std::size_t>(1, domains.size() - 1);
    return (m_options.remoteEndpointsPerService + others - 1) / others;
}

std::vector<inner::EndpointT> ViewBuilder::endpoints(TimePoint now) const
{
    const std::size_t limit = maxShownPerDomain();
    std::vector<inner::EndpointT> endpoints;
    std::map<std::pair<FailureDomainId, std::string>, std::size_t> shown;
    for (const ListedMember &member : m_list) {
        if (member.domain != m_domain && ++shown[{member.domain, member.serves}] > limit) {
            continue;
        }
        inner::EndpointT endpoint = toEndpoint(member);
        applyReports(endpoint, now);
        addLoad(endpoint, now);
        endpoints.push_back(std::move(endpoint));
    }
    std::sort(endpoints.begin(), endpoints.end(), [](const inner::EndpointT &left, const inner::EndpointT &right) {
        return left.id < right.id;
    });
    return endpoints;
}

std::vector<inner::EndpointReportT> ViewBuilder::reportsForOtherDomains(TimePoint now) const
{
    const std::size_t limit = maxShownPerDomain();
    std::vector<inner::EndpointReportT> reports;
    std::map<std::string, std::size_t> shown;
    for (const ListedMember &member : m_list) {
        if (member.domain != m_domain || ++shown[member.serves] > limit || !m_findings.contains(member.id)) {
            continue;
        }
        inner::EndpointT endpoint = toEndpoint(member);
        applyReports(endpoint, now);
        inner::EndpointReportT report;
        report.endpoint = endpoint.id;
        report.reachable = endpoint.reachable;
        report.leaving = endpoint.leaving;
        report.version = endpoint.version;
        report.loading = endpoint.loading;
        report.slots = endpoint.slots;
        reports.push_back(std::move(report));
    }
    return reports;
}

std::vector<inner::PolledLoad> ViewBuilder::loadsOf(const std::vector<inner::EndpointReportT> &reports,
                                                    TimePoint now) const
{
    std::vector<inner::PolledLoad> loads;
    for (const inner::EndpointReportT &report : reports) {
        const auto load = m_loads.find(endpointHash(report.endpoint));
        if (load == m_loads.end()) {
            continue;
        }
        const inner::PolledLoad &polled = load->second.load;
        const auto age = static_cast<std::uint8_t>(ageOf(load->second, now) / LoadAgeUnit);
        loads.emplace_back(polled.endpoint_hash(), polled.running(), polled.waiting(), age);
    }
    return loads;
}

void ViewBuilder::applyReports(inner::EndpointT &endpoint, TimePoint now) const
{
    const auto findings = m_findings.find(endpoint.id);
    if (findings == m_findings.end()) {
        return;
    }
    const Finding *newest = nullptr;
    bool isReachable = false;
    for (const auto &[poller, finding] : findings->second) {
        if (now - finding.receivedAt > m_options.reportLifetime) {
            continue;
        }
        isReachable = isReachable || finding.report.reachable;
        endpoint.leaving = endpoint.leaving || finding.report.leaving;
        const bool isBetter = newest == nullptr || finding.report.reachable > newest->report.reachable
            || (finding.report.reachable == newest->report.reachable && finding.changedAt > newest->changedAt);
        newest = isBetter ? &finding : newest;
    }
    if (newest == nullptr) {
        return;
    }
    endpoint.reachable = isReachable;
    endpoint.version = newest->report.version;
    endpoint.loading = newest->report.loading;
    endpoint.slots = std::max(endpoint.slots, newest->report.slots);
}

void ViewBuilder::addLoad(inner::EndpointT &endpoint, TimePoint now) const
{
    const auto load = m_loads.find(endpointHash(endpoint.id));
    if (load == m_loads.end()) {
        return;
    }
    endpoint.running = load->second.load.running();
    endpoint.waiting = load->second.load.waiting();
    endpoint.load_age_ms = static_cast<std::uint64_t>(ageOf(load->second, now).count());
}

std::chrono::milliseconds ViewBuilder::ageOf(const Load &load, TimePoint now)
{
    const auto since = std::chrono::duration_cast<std::chrono::milliseconds>(now - load.receivedAt);
    return std::min(load.load.load_age() * LoadAgeUnit + since, UnknownLoadAge);
}

} // namespace bergamot
