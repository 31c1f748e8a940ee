// Measures the latency that the data path adds. One run sends the same call directly to a service, through a plain
// forwarder built on the same HTTP library, and through the data path. The calls alternate, so that all three are
// measured under the same machine load.
//
//     build/bin/entry_forwarding_benchmark

#include <future>

#include <benchmark/benchmark.h>

#include "bergamot/base/hash.h"
#include "bergamot/entry/data_path.h"
#include "bergamot/entry/internal/fixed_control.h"
#include "bergamot/http/client.h"
#include "bergamot/http/server.h"

namespace bergamot
{
namespace
{

constexpr std::chrono::seconds CallTimeout{10};
constexpr std::string_view ServiceName = "order-desk";

/// A service, and before it, side by side, a plain forwarder and a data path.
class Setup
{
public:
    Setup()
        : m_service({.address = {"127.0.0.1", 0}},
                    [](const HttpRequest &, const ResponderPtr &responder) {
                        responder->reply({.body = R"({"name":"fettuccine","quantity":7})"});
                    })
        , m_forwarder({.address = {"127.0.0.1", 0}},
                      [this](HttpRequest request, const ResponderPtr &responder) {
                          forward(std::move(request), responder);
                      })
        , m_entry({.address = {"127.0.0.1", 0}}, [this](HttpRequest request, ResponderPtr responder) {
            m_path->handle(std::move(request), std::move(responder));
        })
    {
        const bool started = m_service.start() && m_forwarder.start();
        DataPathOptions options;
        options.instance = InstanceId("instance-1");
        options.router.target.pool.instance = "instance-1";
        options.router.target.pool.domain = FailureDomainId("a");
        m_path = std::make_unique<DataPath>(
            options,
            m_clock,
            std::make_shared<FixedControl>(inner::EndpointKind::Service, std::string(ServiceName), m_service.address()),
            m_metrics);
        while (started && !m_path->ready()) {
            std::this_thread::yield();
        }
        m_started = started && m_entry.start();
    }

    bool started() const
    {
        return m_started;
    }

    double direct()
    {
        return measureMs(m_service.address(), "/stock/fettuccine");
    }

    double forwarded()
    {
        return measureMs(m_forwarder.address(), "/stock/fettuccine");
    }

    double routed()
    {
        return measureMs(m_entry.address(), "/v1/services/order-desk/stock/fettuccine");
    }

    std::size_t failures() const
    {
        return m_failures;
    }

private:
    void forward(HttpRequest request, const ResponderPtr &responder)
    {
        m_client.call(
            m_service.address(), std::move(request), {.timeout = CallTimeout}, [responder](CallOutcome outcome) {
                responder->reply(outcome ? std::move(*outcome) : HttpResponse{.status = 502});
            });
    }

    /// Sends a call and returns the milliseconds until its complete answer.
    double measureMs(const Address &to, const std::string &path)
    {
        const TimePoint begin = BootClock::now();
        const auto outcome = std::make_shared<std::promise<CallOutcome>>();
        m_client.call(to, {.path = path}, {.timeout = CallTimeout}, [outcome](CallOutcome result) {
            outcome->set_value(std::move(result));
        });
        const CallOutcome answer = outcome->get_future().get();
        m_failures += answer && answer->status == 200 ? 0 : 1;
        return std::chrono::duration<double, std::milli>(BootClock::now() - begin).count();
    }

    SystemClock m_clock;
    Metrics m_metrics;
    HttpClient m_client;
    std::unique_ptr<DataPath> m_path;
    HttpServer m_service;
    HttpServer m_forwarder;
    HttpServer m_entry;
    bool m_started = false;
    std::size_t m_failures = 0;
};

double quantile(std::vector<double> &values, double share)
{
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
}

void addedLatency(benchmark::State &state)
{
    Setup setup;
    if (!setup.started()) {
        state.SkipWithError("cannot listen on the loopback interface");
        return;
    }
    std::vector<double> direct;
    std::vector<double> forwarded;
    std::vector<double> routed;
    for (auto _ : state) {
        direct.push_back(setup.direct());
        forwarded.push_back(setup.forwarded());
        routed.push_back(setup.routed());
    }
    state.counters["direct_p50_ms"] = quantile(direct, 0.5);
    state.counters["direct_p99_ms"] = quantile(direct, 0.99);
    state.counters["forwarder_p50_ms"] = quantile(forwarded, 0.5);
    state.counters["forwarder_p99_ms"] = quantile(forwarded, 0.99);
    state.counters["data_path_p50_ms"] = quantile(routed, 0.5);
    state.counters["data_path_p99_ms"] = quantile(routed, 0.99);
    state.counters["failures"] = static_cast<double>(setup.failures());
}

constexpr std::int64_t Calls = 5000;
constexpr int Repetitions = 3;
BENCHMARK(addedLatency)->Iterations(Calls)->Repetitions(Repetitions)->Unit(benchmark::kMillisecond);

} // namespace
} // namespace bergamot
