#pragma once

// Reports the callers' usage to the platform: the I/O around `UsageCounter` and `UsageLedger`. Every instance counts
// and tells the owner of the pool; the owner reports, with the epoch of its claim as the fencing token.
//
//     UsageReporter usage(loop, client, batchLog, codec, log, options);
//     usage.record(tenant, begunAt);
//     usage.tick(now);

#include <optional>
#include <string>

#include <boost/asio/io_context.hpp>

#include "bergamot/base/event_log.h"
#include "bergamot/net/whole_answer.h"
#include "bergamot/node/batch_log.h"
#include "bergamot/node/platform_codec.h"
#include "bergamot/usage/true_time.h"
#include "bergamot/usage/usage_counter.h"
#include "bergamot/usage/usage_ledger.h"

namespace bergamot::node
{

struct UsageReporterOptions
{
    std::string instance;
    std::optional<Address> platform; // that takes the reports; nothing: usage is not reported
    Duration windowLength = std::chrono::seconds(5);
    Duration dueAfter = std::chrono::seconds(10); // the end of a window
    Duration holderLease = std::chrono::milliseconds(3400); // between calls of one instance in two of its ownerships
    Duration tellInterval = std::chrono::seconds(1);
    Duration lastTellInterval = std::chrono::milliseconds(100); // while this instance stops
    Duration tellTimeout = std::chrono::milliseconds(800);
};

/// Not thread-safe.
class UsageReporter
{
public:
    UsageReporter(net::HttpClient &client,
                  BatchLog &log,
                  const PlatformCodec &codec,
                  EventLog &eventLog,
                  UsageReporterOptions options);

    /// An endpoint began to run a request of `tenant`.
    void record(const std::string &tenant, TimePoint begunAt);
    /// This instance owns the pool from now on, or does not any more.
    void setOwner(bool owns);
    /// Responds to an instance that tells its totals.
    net::Response answer(const std::string &body);
    /// This instance stops: it tells the owner at shorter intervals what it still counts.
    void stop();
    /// Whether the owner knows all that was counted here.
    bool told() const;
    void tick(TimePoint now);
    /// Windows that the platform has accepted from this instance.
    std::uint64_t acceptedReports() const;

private:
    bool reports() const;
    void tellOwner();
    void handleTold(const std::string &owner, const usage::WindowCounts &totals, const net::WholeAnswer &answer);
    void appendRecords();
    void sendReports(TimePoint now);
    void send(const usage::UsageReport &report);
    void handleSent(usage::Window window, const net::WholeAnswer &answer);
    /// Whether a call of this instance cannot follow one of another holder within the lease of this instance's own.
    bool mayCall(TimePoint now) const;

    net::HttpClient &m_client;
    BatchLog &m_log;
    const PlatformCodec &m_codec;
    EventLog &m_eventLog;
    UsageReporterOptions m_options;
    usage::TrueTime m_time;
    usage::UsageCounter m_counter;
    usage::UsageLedger m_ledger;
    TimePoint m_startedAt{};
    TimePoint m_sampledAt{};
    TimePoint m_toldAt{};
    TimePoint m_calledAt{}; // the last call to the platform
    std::uint64_t m_calledEpoch = 0; // of that call
    std::uint64_t m_acceptedReports = 0;
    bool m_telling = false;
    bool m_stopping = false;
};

} // namespace bergamot::node
