#include "bergamot/control/endpoint_probe.h"

#include <future>

#include <gtest/gtest.h>

#include "bergamot/platform/http_engine_client.h"
#include "bergamot/standins/crashable_http_server.h"

namespace bergamot
{
namespace
{

using namespace std::chrono_literals;

constexpr std::chrono::seconds Patience{20};
const Address AnyPort{"127.0.0.1", 0};

EngineState loaded(std::uint32_t running, std::uint32_t waiting, std::uint32_t slots, std::chrono::milliseconds age)
{
    return {.running = running, .waiting = waiting, .slots = slots, .loadAge = age};
}

EngineState leaving()
{
    return {.slots = 0, .leaving = true};
}

struct ProbeCase
{
    std::string name;
    HttpResponse answer;
    EngineState state;
};

class ServiceProbes : public testing::TestWithParam<ProbeCase>
{ };

TEST_P(ServiceProbes, readTheReportIfThereIsOne)
{
    IoThreads threads(2);
    CrashableHttpServer server(
        threads, AnyPort, [](const HttpRequest &request, const DroppableResponderPtr &responder) {
            EXPECT_EQ(request.path, "/healthz");
            responder->reply(GetParam().answer);
        });
    ASSERT_TRUE(server.start());
    HttpClient http;
    HttpEngineClient engines(http);
    EndpointProbe probe(engines, http);
    std::promise<Result<EngineState>> answer;
    probe.ask({EndpointId("s1"), inner::EndpointKind::Service, server.address()}, Patience, [&](const auto &state) {
        answer.set_value(state);
    });
    EXPECT_EQ(answer.get_future().get(), GetParam().state);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    ServiceProbes,
    testing::Values(ProbeCase{"Load",
                              {.body = R"({"running":3,"waiting":1,"slots":16,"load_age_ms":500})"},
                              loaded(3, 1, 16, 500ms)},
                    ProbeCase{"FieldsOfItsOwn", {.body = R"({"status":"ok","slots":2})"}, loaded(0, 0, 2, 0ms)},
                    ProbeCase{"NoReport", {.body = "{}"}, loaded(0, 0, 0, 0ms)},
                    ProbeCase{"NoJson", {.body = "fine"}, loaded(0, 0, 0, 0ms)},
                    ProbeCase{"NoObject", {.body = "7"}, loaded(0, 0, 0, 0ms)},
                    ProbeCase{"Malformed", {.body = R"({"running":3,"slots":"many"})"}, loaded(0, 0, 0, 0ms)},
                    ProbeCase{"NoSuchPath", {.status = 404, .body = R"({"slots":9})"}, loaded(0, 0, 0, 0ms)},
                    ProbeCase{"LeavingByHeader", {.headers = {{"X-Leaving", "true"}}, .body = "{}"}, leaving()},
                    ProbeCase{"LeavingByReport", {.body = R"({"leaving":true})"}, leaving()}),
    [](const auto &testCase) {
        return testCase.param.name;
    });

} // namespace
} // namespace bergamot
