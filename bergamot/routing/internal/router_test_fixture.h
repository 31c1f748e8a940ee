#pragma once

// The fixture of the router's tests: feeds events to a router and collects its actions by type.

#include <gtest/gtest.h>

#include "bergamot/routing/router.h"

namespace bergamot
{

inline constexpr std::uint64_t Seed = 7;

inline RouterOptions testOptions()
{
    RouterOptions options;
    options.target.pool.instance = "entry-1";
    options.target.pool.domain = FailureDomainId("a");
    return options;
}

/// Runs a router in simulated time, feeds it events and collects its actions by type.
class RouterTest : public testing::Test
{
protected:
    explicit RouterTest(const RouterOptions &options = testOptions())
        : m_router(options, Seed)
    { }

    void SetUp() override
    {
        showEndpoints(3);
    }

    void showEndpoints(int count, const std::function<void(RoutedEndpoint &)> &change = nullptr)
    {
        RoutingTable table;
        RoutedTarget &target = table.targets["service/stock"];
        for (int number = 0; number < count; ++number) {
            RoutedEndpoint endpoint;
            endpoint.id = EndpointId("endpoint-" + std::to_string(number));
            endpoint.domain = FailureDomainId("a");
            endpoint.address = {"127.0.0.1", static_cast<std::uint16_t>(1000 + number)};
            if (change) {
                change(endpoint);
            }
            target.endpoints.push_back(endpoint);
        }
        table.suspects = m_suspects;
        m_router.onView(table, m_now);
        collect();
    }

    RequestId send(const std::function<void(CallerRequest &)> &change = nullptr)
    {
        CallerRequest request;
        request.id = ++m_lastRequest;
        request.target = "service/stock";
        request.deadline = m_now + std::chrono::seconds(2);
        request.fingerprint = request.id;
        if (change) {
            change(request);
        }
        m_router.onRequest(request, m_now);
        collect();
        return request.id;
    }

    void collect()
    {
        for (Action &action : m_router.takeActions()) {
            if (const auto *dispatch = std::get_if<DispatchAction>(&action)) {
                m_dispatches.push_back(*dispatch);
            } else if (const auto *refuse = std::get_if<RefuseAction>(&action)) {
                m_refusals[refuse->request] = *refuse;
                ++m_ends[refuse->request];
            } else if (const auto *forward = std::get_if<ForwardAction>(&action)) {
                ++m_ends[forward->request];
                m_forwarded[forward->request] = forward->attempt;
            } else if (const auto *stored = std::get_if<ForwardStoredAction>(&action)) {
                ++m_ends[stored->request];
            } else if (const auto *abort = std::get_if<AbortStreamAction>(&action)) {
                ++m_ends[abort->request];
                m_aborted.push_back(abort->request);
            } else if (const auto *record = std::get_if<RecordKeyAction>(&action)) {
                m_records.push_back(*record);
            } else if (const auto *cancel = std::get_if<CancelAction>(&action)) {
                m_cancelled.push_back(cancel->attempt);
            } else if (std::holds_alternative<DropConnectionsAction>(action)) {
                ++m_drops;
            }
        }
    }

    void fail(AttemptId attempt, AttemptFailure failure)
    {
        m_router.onFailed(attempt, failure, m_now);
        collect();
    }

    void answer(AttemptId attempt, AttemptAnswer answer = {})
    {
        m_router.onAnswered(attempt, answer, m_now);
        collect();
    }

    void pass(Duration time)
    {
        m_now += time;
        m_router.tick(m_now);
        collect();
    }

    std::size_t dispatchesOf(RequestId id) const
    {
        return static_cast<std::size_t>(std::count_if(m_dispatches.begin(), m_dispatches.end(), [id](const auto &each) {
            return each.request == id;
        }));
    }

    TimePoint m_now = TimePoint(std::chrono::hours(1));
    Router m_router;
    RequestId m_lastRequest = 0;
    std::vector<SuspectReport> m_suspects;
    std::vector<DispatchAction> m_dispatches;
    std::map<RequestId, RefuseAction> m_refusals;
    std::map<RequestId, AttemptId> m_forwarded;
    std::map<RequestId, int> m_ends;
    std::vector<RequestId> m_aborted;
    std::vector<RecordKeyAction> m_records;
    std::vector<AttemptId> m_cancelled;
    int m_drops = 0;
};

inline constexpr AttemptFailure ConnectionRefused{.proof = DeliveryProof::NotRun, .timedOut = false};
inline constexpr AttemptFailure ConnectionLost{.proof = DeliveryProof::MaybeRan, .timedOut = false};
inline constexpr AttemptFailure NoAnswer{.proof = DeliveryProof::MaybeRan, .timedOut = true};

} // namespace bergamot
