#pragma once

// What the node needs to know of the platform's wire: names of header fields, and functions that turn its messages
// into types of this project and back. The adapter of the platform implements it; nothing else knows the names.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "bergamot/base/error.h"
#include "bergamot/batch/batch.h"
#include "bergamot/fleet/configuration.h"
#include "bergamot/fleet/endpoint_directory.h"
#include "bergamot/net/message.h"

namespace bergamot::node
{

/// Names of header fields.
struct HeaderNames
{
    std::string requestId;
    std::string deadline; // milliseconds that the caller still waits
    std::string expectedEndpoint; // any other endpoint refuses the request
    std::string notExecuted; // on an answer: the request did not run
    std::string stamp; // signature of an endpoint's answer
    std::string weightVersions; // on an engine's answer: the version of its weights
    std::string weightVersionField; // the same as a field of an event, at which the version changes
    std::string expectedVersion; // an engine with other weights refuses the request
    std::string urgency; // 0 (first) to 9
};

struct ReadinessCall
{ };

struct ReadResultsCall
{
    std::string batch;
    std::uint64_t after = 0; // position of the first result that is wanted
    Duration wait{}; // for a result to come
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

/// A request that goes to a route.
struct RoutedCall
{ };

/// A call to the service itself that is malformed.
struct BadCall
{
    std::string problem;
};

using EdgeCall = std::variant<RoutedCall, ReadinessCall, ReadResultsCall, ReadItemCall, EndBatchCall, BadCall>;

struct NamedVersion
{
    std::string model;
    std::uint64_t version = 0;
};

/// What a record of the operators' topic says.
using OperatorRecord = std::variant<std::monostate, fleet::Configuration, NamedVersion>;

struct LoadOrder
{
    std::string model;
    std::uint64_t version = 0;
    std::string holder;
    std::uint64_t fencing = 0;
    std::uint64_t expectedOrders = 0; // that the engine has accepted since its start
    bool runsContinue = false; // under the new weights; otherwise the engine lets its runs finish first
};

struct EngineReport
{
    bool busy = false; // an order is being carried out
    std::uint64_t orders = 0; // accepted since its start
    std::map<std::string, std::uint64_t> versions;
};

class PlatformCodec
{
public:
    virtual ~PlatformCodec() = default;

    virtual const HeaderNames &headers() const = 0;
    virtual EdgeCall edgeCall(const net::Request &request) const = 0;
    virtual Result<batch::Batch> submission(const net::Request &request) const = 0;
    virtual std::string
    results(std::uint32_t total, std::uint64_t next, const std::vector<batch::ItemResult> &results) const = 0;

    virtual std::string operatorTopic() const = 0;
    virtual std::string endpointTopic() const = 0;
    /// Nothing for records of other kinds.
    virtual Result<OperatorRecord> operatorRecord(const std::string &key, const std::string &value) const = 0;
    virtual Result<fleet::Endpoint> endpoint(const std::string &key, const std::string &value) const = 0;

    virtual net::Request loadOrder(const LoadOrder &order) const = 0;
    virtual net::Request reportCall() const = 0;
    virtual Result<EngineReport> report(const std::string &body) const = 0;
};

} // namespace bergamot::node
