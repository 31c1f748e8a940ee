#include "bergamot/standins/contract_platform.h"

#include "bergamot/base/invariant.h"
#include "bergamot/platform/http_engine_client.h"
#include "bergamot/platform/http_instance_list.h"
#include "bergamot/platform/http_log.h"
#include "bergamot/platform/http_scoring.h"
#include "bergamot/platform/http_weight_store.h"
#include "bergamot/platform/platform_json.h"
#include "bergamot/standins/fakes.h"

namespace bergamot
{

namespace
{

using namespace std::chrono_literals;

constexpr std::chrono::seconds Patience{30};

EngineCoreOptions engineOptions()
{
    EngineCoreOptions options;
    options.model = ModelId("order-agent");
    options.tokenTime = 1ms;
    options.fetchTime = 5ms;
    options.swapTime = 5ms;
    options.restartTime = 200ms;
    options.loadLag = 1ms;
    return options;
}

class FakePlatform final : public ContractPlatform
{
public:
    FakePlatform()
    {
        m_engines.add(engine(0), engineOptions());
        m_engines.add(engine(1), engineOptions());
    }

    Log &log() override
    {
        return m_log;
    }

    InstanceList &list() override
    {
        return m_list;
    }

    WeightStore &weightStore() override
    {
        return m_weightStore;
    }

    ScoringService &scoring() override
    {
        return m_scoring;
    }

    EngineClient &engines() override
    {
        return m_engines;
    }

    Address engine(std::size_t index) const override
    {
        return {"127.0.0.1", static_cast<std::uint16_t>(7100 + index)};
    }

    Result<void> fault(const std::string &role, const FaultCommand &command) override
    {
        const std::map<std::string, std::function<Result<void>()>> roles = {
            {"log",
             [&] {
                 return m_log.apply(command);
             }},
            {"list",
             [&] {
                 return m_list.apply(command);
             }},
            {"weight-store",
             [&] {
                 return m_weightStore.apply(command);
             }},
            {"scoring",
             [&] {
                 return m_scoring.apply(command);
             }},
            {"engine",
             [&] {
                 return m_engines.apply(engine(0), command);
             }},
        };
        return roles.at(role)();
    }

    Result<void> put(const ListedMember &member) override
    {
        m_list.put(member);
        return {};
    }

    Result<void> publish(const ModelId &model, WeightVersion version) override
    {
        return m_weightStore.publish(model, version);
    }

    bool waitUntil(const std::function<bool()> &isReady) override
    {
        const TimePoint limit = m_clock.now() + Patience;
        while (!isReady()) {
            if (m_clock.now() >= limit) {
                return false;
            }
            m_time.advance(1ms);
        }
        return true;
    }

private:
    ManualClock m_clock;
    FakeTime m_time{m_clock};
    FakeLog m_log{m_time};
    FakeInstanceList m_list{m_time};
    FakeWeightStore m_weightStore{m_time};
    FakeScoring m_scoring{m_time};
    FakeEngines m_engines{m_time};
};

StandinOptions standinOptions()
{
    const Address any{"127.0.0.1", 0};
    StandinOptions options;
    options.log = any;
    options.list = any;
    options.listLag = Duration::zero();
    options.weightStore = any;
    options.weightStoreOptions.fetchTime = 5ms;
    options.scoring = any;
    options.scoringTime = Duration::zero();
    options.engines = {{any, "e1", FailureDomainId("a")}, {any, "e2", FailureDomainId("b")}};
    options.engineOptions = engineOptions();
    return options;
}

class HttpPlatform final : public ContractPlatform
{
public:
    HttpPlatform()
        : m_standin(standinOptions())
        , m_started(m_standin.start().has_value())
        , m_log(m_http, m_standin.logAddress())
        , m_list(m_http, m_standin.listAddress())
        , m_weightStore(m_http, m_standin.weightStoreAddress())
        , m_scoring(m_http, m_standin.scoringAddress())
        , m_engines(m_http)
    {
        checkInvariant(m_started, "The stand-in starts on free ports.");
    }

    Log &log() override
    {
        return m_log;
    }

    InstanceList &list() override
    {
        return m_list;
    }

    WeightStore &weightStore() override
    {
        return m_weightStore;
    }

    ScoringService &scoring() override
    {
        return m_scoring;
    }

    EngineClient &engines() override
    {
        return m_engines;
    }

    Address engine(std::size_t index) const override
    {
        return m_standin.engineAddress(index);
    }

    Result<void> fault(const std::string &role, const FaultCommand &command) override
    {
        const std::map<std::string, Address> roles = {
            {"log", m_standin.logAddress()},
            {"list", m_standin.listAddress()},
            {"weight-store", m_standin.weightStoreAddress()},
            {"scoring", m_standin.scoringAddress()},
            {"engine", m_standin.engineAddress(0)},
        };
        web::json::value body = web::json::value::object();
        body["fault"] = web::json::value(command.fault);
        body["call"] = web::json::value(command.call);
        body["count"] = web::json::value(command.count);
        body["duration_ms"] = web::json::value(static_cast<std::uint64_t>(command.duration.count()));
        body["text"] = web::json::value(command.text);
        return post(roles.at(role), "/faults", body);
    }

    Result<void> put(const ListedMember &member) override
    {
        web::json::value body = web::json::value::object();
        body["member"] = toJson(member);
        return post(m_standin.listAddress(), "/instances/register", body);
    }

    Result<void> publish(const ModelId &model, WeightVersion version) override
    {
        web::json::value body = web::json::value::object();
        body["version"] = web::json::value(version);
        return post(m_standin.weightStoreAddress(), "/weights/" + model.value() + "/publish", body);
    }

    bool waitUntil(const std::function<bool()> &isReady) override
    {
        const TimePoint limit = BootClock::now() + Patience;
        while (!isReady()) {
            if (BootClock::now() >= limit) {
                return false;
            }
        }
        return true;
    }

private:
    /// Commands go over connections of their own, so that the clients under test start with fresh ones.
    Result<void> post(const Address &to, const std::string &path, const web::json::value &body)
    {
        HttpRequest request;
        request.method = "POST";
        request.path = path;
        request.body = body.serialize();
        std::promise<CallOutcome> outcome;
        m_control.call(to, request, {.timeout = Patience, .repeatable = false}, [&outcome](CallOutcome result) {
            outcome.set_value(std::move(result));
        });
        const CallOutcome answer = outcome.get_future().get();
        if (!answer || answer->status != 200) {
            return failure(ErrorCode::Internal, answer ? answer->body : answer.error().message);
        }
        return {};
    }

    Standin m_standin;
    bool m_started;
    HttpClient m_control;
    HttpClient m_http;
    HttpLog m_log;
    HttpInstanceList m_list;
    HttpWeightStore m_weightStore;
    HttpScoring m_scoring;
    HttpEngineClient m_engines;
};

} // namespace

std::unique_ptr<ContractPlatform> makeContractPlatform(ContractBackend backend)
{
    if (backend == ContractBackend::Fake) {
        return std::make_unique<FakePlatform>();
    }
    return std::make_unique<HttpPlatform>();
}

} // namespace bergamot
