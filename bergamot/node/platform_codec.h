#pragma once

// Interface to the platform's wire formats: names of header fields, and conversions between its messages and the types
// of this project. The platform adapter implements it; no other code depends on the wire formats.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "bergamot/base/error.h"
#include "bergamot/batch/batch.h"
#include "bergamot/cost/endpoint_outlook.h"
#include "bergamot/fleet/configuration.h"
#include "bergamot/fleet/endpoint_directory.h"
#include "bergamot/net/message.h"
#include "bergamot/usage/usage_report.h"

namespace bergamot::node
{

/// Names of header fields.
struct HeaderNames
{
    std::string requestId;
    std::string deadline; // milliseconds for which the caller still waits
    std::string expectedEndpoint; // id of the intended endpoint; any other one refuses the request
    std::string notExecuted; // in a response: the request was not executed
    std::string leaving; // in any response, with the value `LeavingValue`: the endpoint is leaving
    std::string limit; // in any response: requests a second that the endpoint takes from all instances together
    std::string signature; // signature of an endpoint's response
    std::string weightVersions; // in an engine's response: its weight version
    std::string weightVersionField; // field of the event at which the weight version changes
    std::string expectedVersion; // an engine with another weight version refuses the request
    std::string urgency; // 0 (first) to 9
    std::string resumes; // identifier of the attempt in which the stream began that the caller takes up
    std::string lastEvent; // the last event of that stream that the caller has
    std::string credentials; // in a call: `keyScheme`, a space, and a key of the caller's tenant
    std::string keyScheme;
    std::string tenant; // tells an endpoint whose request it is
};

/// The only value of `HeaderNames::leaving` that says so.
constexpr std::string_view LeavingValue = "1";
constexpr std::size_t MaxReportBytes = std::size_t{256} * 1024; // a report lists the requests that an engine runs

struct ReadinessCall
{ };

struct ReadResultsCall
{
    std::string batch;
    std::uint64_t after = 0; // position of the first requested result
    Duration wait{}; // how long to wait for a result
};

struct ReadItemCall
{
    std::string batch;
    std::string item;
};

struct EndBatchCall
{
    std::string batch;
};

/// A request that is forwarded along a route, or a batch submission.
struct RoutedCall
{ };

/// A malformed call to the service itself.
struct MalformedCall
{
    std::string problem;
};

using ServiceCall = std::variant<RoutedCall, ReadinessCall, ReadResultsCall, ReadItemCall, EndBatchCall, MalformedCall>;

struct NamedVersion
{
    std::string model;
    std::uint64_t version = 0;
};

/// Content of a record of the operators' topic; `monostate` for records of other kinds.
using OperatorRecord = std::variant<std::monostate, fleet::Configuration, NamedVersion>;

/// Orders an engine to load a weight version.
struct LoadOrder
{
    std::string model;
    std::uint64_t version = 0;
    std::string holder; // name of the ordering instance
    std::uint64_t fencingToken = 0;
    std::uint64_t expectedOrderCount = 0; // orders that the engine has accepted since its start
    bool runsContinueAcrossLoads = false; // runs continue with the new weights; otherwise they finish before the load
};

struct EngineReport
{
    bool busy = false; // an order is being executed
    std::uint64_t acceptedOrders = 0; // orders accepted since its start
    std::uint64_t incarnation = 0; // of the process that wrote the report; 0: not known
    std::map<std::string, std::uint64_t> versions; // weight version by model
};

/// Reports the requests of each tenant in a window to the platform.
struct UsageCall
{
    std::string holder; // name of the reporting instance
    std::uint64_t fencingToken = 0;
    usage::UsageReport report;
};

/// Whether the response says that its endpoint is leaving.
inline bool saysLeaving(const HeaderNames &names, const net::HeaderFields &headers)
{
    return headers.find(names.leaving) == LeavingValue;
}

/// Makes the headers of a request that goes to an endpoint name its tenant (empty: none) in place of what its caller
/// said.
inline void nameTenant(const HeaderNames &names, const std::string &tenant, net::HeaderFields &headers)
{
    headers.remove(names.credentials);
    headers.remove(names.tenant);
    if (!tenant.empty()) {
        headers.add(names.tenant, tenant);
    }
}

/// Converts the platform's messages to types of this project and back. Parsers return an error for malformed input.
class PlatformCodec
{
public:
    virtual ~PlatformCodec() = default;

    virtual const HeaderNames &headers() const = 0;
    /// Classifies a request on the caller-facing interface.
    virtual ServiceCall parseServiceCall(const net::Request &request) const = 0;
    /// Upper bound of the memory that `submission` takes for the request beside the request itself, in bytes.
    virtual std::size_t submissionBytes(const net::Request &request) const = 0;
    /// Parses a batch submission.
    virtual Result<batch::Batch> submission(const net::Request &request) const = 0;
    /// Body of the response to `ReadResultsCall`.
    virtual std::string
    results(std::uint32_t total, std::uint64_t next, const std::vector<batch::ItemResult> &results) const = 0;

    virtual std::string operatorTopic() const = 0;
    virtual std::string endpointTopic() const = 0;
    /// `monostate` for records of other kinds.
    virtual Result<OperatorRecord> operatorRecord(const std::string &key, const std::string &value) const = 0;
    /// Parses the entry of an endpoint.
    virtual Result<fleet::EndpointEntry> endpoint(const std::string &key, const std::string &value) const = 0;

    virtual net::Request loadOrderRequest(const LoadOrder &order) const = 0;
    /// Nothing if the endpoint reports none, or something that cannot be read.
    virtual std::optional<cost::LoadReport> endpointLoad(const net::HeaderFields &headers) const = 0;
    virtual net::Request usageRequest(const UsageCall &call) const = 0;
    /// Requests the report of an engine.
    virtual net::Request reportRequest() const = 0;
    /// Parses the report of an engine.
    virtual Result<EngineReport> report(const std::string &body) const = 0;
};

} // namespace bergamot::node
