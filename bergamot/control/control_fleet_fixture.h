#pragma once

// A fleet of control processes in one test process, over real TCP, before the stand-ins of the platform. Entry
// processes are played by the test: it sends what they send, and counts what it was told.

#include <unistd.h>

#include <future>

#include <gtest/gtest.h>

#include "bergamot/base/json.h"
#include "bergamot/control/control_process.h"
#include "bergamot/platform/http_log.h"
#include "bergamot/platform/platform_json.h"
#include "bergamot/protocol/peer_server.h"
#include "bergamot/standins/standin.h"

namespace bergamot
{

inline constexpr std::chrono::seconds TestLimit{30}; // a test that waits longer has failed
inline constexpr std::chrono::seconds CallLimit{4};
inline constexpr std::string_view FleetDomain = "a";

/// Waits for the outcome of one call.
template<typename T>
Result<T> await(const std::function<void(Callback<T> done)> &call)
{
    const auto outcome = std::make_shared<std::promise<Result<T>>>();
    call([outcome](Result<T> result) {
        outcome->set_value(std::move(result));
    });
    return outcome->get_future().get();
}

struct FleetMember
{
    std::unique_ptr<ControlProcess> process; // none: killed
    Address frames;
    Address http;
    std::unique_ptr<PeerClient> entry; // as the entry process beside it
};

class ControlFleet : public testing::Test
{
protected:
    void SetUp() override
    {
        ASSERT_TRUE(m_standin.start());
    }

    void TearDown() override
    {
        wake();
        m_members.clear();
    }

    static StandinOptions standinOptions()
    {
        const Address any{"127.0.0.1", 0};
        StandinOptions options;
        options.log = any;
        options.list = any;
        options.listLag = Duration{};
        options.weightStore = any;
        options.engines = {{any, "engine-1", FailureDomainId(std::string(FleetDomain))}};
        options.engineOptions.model = ModelId("agent");
        return options;
    }

    /// A port of a loopback number of this process alone, so that no other test takes it before it is opened.
    static Address freeAddress()
    {
        constexpr int Numbers = 250;
        const int process = ::getpid();
        const std::string ip =
            "127." + std::to_string(1 + process / Numbers % Numbers) + "." + std::to_string(process % Numbers) + ".9";
        PeerServer server({.address = {ip, 0}, .identity = {}}, [](auto &&...) {});
        EXPECT_TRUE(server.start());
        return server.address();
    }

    ControlOptions optionsFor(const std::string &instance) const
    {
        ControlOptions options;
        options.instance = InstanceId(instance);
        options.domain = FailureDomainId(std::string(FleetDomain));
        options.incarnation = 1;
        options.listenAddress = freeAddress();
        options.httpAddress = freeAddress();
        options.entryAddress = {"127.0.0.1", 1};
        options.logAddress = m_standin.logAddress();
        options.listAddress = m_standin.listAddress();
        options.weightStoreAddress = m_standin.weightStoreAddress();
        return options;
    }

    /// Starts an instance and puts it on the list.
    void start(const ControlOptions &options)
    {
        const std::string name = options.instance.value();
        FleetMember member{std::make_unique<ControlProcess>(options), options.listenAddress, options.httpAddress, {}};
        ASSERT_TRUE(member.process->start());
        member.entry = std::make_unique<PeerClient>(PeerIdentity{.sender = name,
                                                                 .domain = std::string(FleetDomain),
                                                                 .protocol = options.protocol,
                                                                 .oldestProtocol = options.oldestProtocol});
        const ListedMember listed{
            ListedKind::Instance, name, options.domain, options.listenAddress, ListedState::Live, ""};
        web::json::value body = web::json::value::object();
        body["member"] = toJson(listed);
        ASSERT_EQ(post(m_standin.listAddress(), "/instances/register", body.serialize()).status, 200);
        m_members[name] = std::move(member);
    }

    void startThree()
    {
        for (const std::string name : {"i1", "i2", "i3"}) {
            start(optionsFor(name));
        }
    }

    HttpResponse call(const Address &to, const HttpRequest &request)
    {
        std::promise<CallOutcome> outcome;
        m_http.call(to, request, {.timeout = CallLimit, .repeatable = false}, [&outcome](CallOutcome result) {
            outcome.set_value(std::move(result));
        });
        const CallOutcome result = outcome.get_future().get();
        return result ? *result : HttpResponse{.status = 0};
    }

    HttpResponse post(const Address &to, const std::string &path, const std::string &body)
    {
        return call(to, {.method = "POST", .path = path, .body = body});
    }

    web::json::value read(const Address &from, const std::string &path)
    {
        return parseJson(call(from, {.path = path}).body).value_or(web::json::value());
    }

    /// Asks again until it is so; false if that takes longer than a test may wait.
    static bool eventually(const std::function<bool()> &isSo)
    {
        const TimePoint limit = BootClock::now() + TestLimit;
        while (BootClock::now() < limit) {
            if (isSo()) {
                return true;
            }
        }
        return false;
    }

    /// Plans and confirms at `instance`; returns once every instance of `names` says that the version is in force.
    void configure(const std::string &instance, const std::string &id, const std::string &set, std::uint64_t version)
    {
        const Address at = m_members.at(instance).http;
        const std::string intent = R"({"id":")" + id + R"(","operator":"test","set":)" + set + "}";
        ASSERT_TRUE(eventually([&] {
            return post(at, "/v1/intents", intent).status == 200;
        }));
        const web::json::value plan = parseJson(post(at, "/v1/intents", intent).body).value();
        const std::string path = "/v1/plans/" + plan.at("plan").as_string() + "/confirm";
        ASSERT_TRUE(eventually([&] {
            return post(at, path, R"({"operator":"test"})").status == 200;
        }));
        for (const auto &member : m_members) {
            const std::string &name = member.first;
            if (member.second.process) {
                EXPECT_TRUE(eventually([&] {
                    return versionAt(name) >= version;
                })) << name;
            }
        }
    }

    std::uint64_t versionAt(const std::string &instance)
    {
        const Result<inner::FrameT> reply = ask(instance, inner::ViewRequestT{});
        const inner::ViewReplyT *view = reply ? reply->body.AsViewReply() : nullptr;
        return view != nullptr && view->view ? view->view->config_version : 0;
    }

    /// What the entry process beside `instance` asks it.
    template<typename T>
    Result<inner::FrameT> ask(const std::string &instance, T request)
    {
        const FleetMember &member = m_members.at(instance);
        return await<inner::FrameT>([&](Callback<inner::FrameT> done) {
            inner::BodyUnion body;
            body.Set(std::move(request));
            member.entry->request(member.frames, std::move(body), CallLimit, std::move(done));
        });
    }

    /// As when its machine dies: nothing is handed back.
    void kill(const std::string &instance)
    {
        m_members.at(instance).process.reset();
    }

    /// The process does nothing until `wake`; what is sent to it waits.
    void pause(const std::string &instance)
    {
        m_held = std::make_unique<std::promise<void>>();
        m_members.at(instance).process->post([until = m_held->get_future().share()] {
            until.wait();
        });
    }

    void wake()
    {
        if (m_held) {
            std::exchange(m_held, nullptr)->set_value();
        }
    }

    std::vector<StoredRecord> records(const std::string &stream)
    {
        const Result<LogPage> page = await<LogPage>([&](Callback<LogPage> done) {
            HttpLog(m_http, m_standin.logAddress()).read(stream, 1, 1000, CallLimit, std::move(done));
        });
        return page ? page->records : std::vector<StoredRecord>();
    }

    HttpClient m_http;
    Standin m_standin{standinOptions()};
    std::map<std::string, FleetMember> m_members;
    std::unique_ptr<std::promise<void>> m_held;
};

} // namespace bergamot
