// Contract of the platform's interfaces: the same cases on the fakes and on the real clients over HTTP.

#include <gtest/gtest.h>

#include "bergamot/standins/contract_platform.h"
#include "bergamot/standins/generated_text.h"

namespace bergamot
{
namespace
{

using namespace std::chrono_literals;

constexpr std::chrono::seconds Patience{20};
constexpr std::chrono::milliseconds Impatience{150};
constexpr std::chrono::milliseconds DownTime{3000}; // long enough to be met by a call, also on a busy machine
const ModelId Model{"order-agent"};

std::string nameOf(ContractBackend backend)
{
    return backend == ContractBackend::Fake ? "Fake" : "Http";
}

std::vector<Record> batch(std::uint64_t firstSequence, std::size_t size)
{
    std::vector<Record> records;
    for (std::size_t i = 0; i < size; ++i) {
        records.push_back({{"instance-1", 7, firstSequence + i}, "intent", R"({"text":"Kigali, ä"})"});
    }
    return records;
}

Result<Offset> append(ContractPlatform &platform, std::vector<Record> records)
{
    return platform.await<Offset>([&](Callback<Offset> done) {
        platform.log().append("config", records, Patience, std::move(done));
    });
}

Result<LogPage> read(ContractPlatform &platform, Offset from, std::size_t limit)
{
    return platform.await<LogPage>([&](Callback<LogPage> done) {
        platform.log().read("config", from, limit, Patience, std::move(done));
    });
}

Result<Generation> generate(ContractPlatform &platform, std::size_t engine, const GenerateRequest &request)
{
    return platform.await<Generation>([&](Callback<Generation> done) {
        platform.engines().generate(platform.engine(engine), request, Patience, std::move(done));
    });
}

Result<void> order(ContractPlatform &platform, FencingNumber fencing, WeightVersion version)
{
    return platform.await<void>([&](Callback<void> done) {
        const EngineOrder order{fencing, Model, version, EngineRole::Serving};
        platform.engines().order(platform.engine(0), order, Patience, std::move(done));
    });
}

Result<EngineState> state(ContractPlatform &platform)
{
    return platform.await<EngineState>([&](Callback<EngineState> done) {
        platform.engines().state(platform.engine(0), Patience, std::move(done));
    });
}

/// Waits until the first engine tells a state that `isIt`.
bool waitForState(ContractPlatform &platform, const std::function<bool(const EngineState &)> &isIt)
{
    return platform.waitUntil([&] {
        const Result<EngineState> now = state(platform);
        return now && isIt(*now);
    });
}

/// A call of an interface, reduced to its error.
using Call = void (*)(ContractPlatform &platform, std::chrono::milliseconds timeout, Callback<void> done);

template<typename T>
Callback<T> errorOnly(Callback<void> done)
{
    return [done = std::move(done)](const Result<T> &result) {
        done(result ? Result<void>() : tl::unexpected(result.error()));
    };
}

struct CallCase
{
    std::string name;
    std::string role;
    std::string call; // its name in fault commands
    Call make;
};

struct FaultCase
{
    std::string name;
    FaultCommand command;
    std::optional<ErrorCode> error;
};

class CallUnderFault : public testing::TestWithParam<std::tuple<ContractBackend, CallCase, FaultCase>>
{ };

TEST_P(CallUnderFault, reportsExactlyWhatIsKnown)
{
    const auto &[backend, call, fault] = GetParam();
    const std::unique_ptr<ContractPlatform> platform = makeContractPlatform(backend);
    FaultCommand command = fault.command;
    command.call = call.call;
    ASSERT_TRUE(platform->fault(call.role, command));
    const bool lapses = fault.error == ErrorCode::DeadlineExceeded;
    const Result<void> outcome = platform->await<void>([&, make = call.make](Callback<void> done) {
        make(*platform, lapses ? std::chrono::milliseconds(Impatience) : Patience, std::move(done));
    });
    ASSERT_EQ(outcome.has_value(), !fault.error) << (outcome ? "" : outcome.error().message);
    if (fault.error) {
        EXPECT_EQ(errorCodeName(outcome.error().code), errorCodeName(*fault.error)) << outcome.error().message;
        EXPECT_EQ(outcome.error().retryAfter.has_value(), fault.error == ErrorCode::Unavailable);
    }
}

const CallCase Calls[] = {
    {"append",
     "log",
     "append",
     [](ContractPlatform &platform, std::chrono::milliseconds timeout, Callback<void> done) {
         platform.log().append("config", batch(1, 1), timeout, errorOnly<Offset>(std::move(done)));
     }},
    {"read",
     "log",
     "read",
     [](ContractPlatform &platform, std::chrono::milliseconds timeout, Callback<void> done) {
         platform.log().read("config", 1, 10, timeout, errorOnly<LogPage>(std::move(done)));
     }},
    {"fetch",
     "list",
     "fetch",
     [](ContractPlatform &platform, std::chrono::milliseconds timeout, Callback<void> done) {
         platform.list().fetch(timeout, errorOnly<std::vector<ListedMember>>(std::move(done)));
     }},
    {"published",
     "weight-store",
     "published",
     [](ContractPlatform &platform, std::chrono::milliseconds timeout, Callback<void> done) {
         platform.weightStore().published(Model, timeout, errorOnly<PublishedWeights>(std::move(done)));
     }},
    {"score",
     "scoring",
     "score",
     [](ContractPlatform &platform, std::chrono::milliseconds timeout, Callback<void> done) {
         platform.scoring().score("prompt", "text", timeout, errorOnly<double>(std::move(done)));
     }},
    {"generate",
     "engine",
     "generate",
     [](ContractPlatform &platform, std::chrono::milliseconds timeout, Callback<void> done) {
         platform.engines().generate(
             platform.engine(0), {"1", Model, "p", 3, 0, ""}, timeout, errorOnly<Generation>(std::move(done)));
     }},
    {"order",
     "engine",
     "order",
     [](ContractPlatform &platform, std::chrono::milliseconds timeout, Callback<void> done) {
         platform.engines().order(platform.engine(0), {1, Model, 1, EngineRole::Serving}, timeout, std::move(done));
     }},
    {"state",
     "engine",
     "state",
     [](ContractPlatform &platform, std::chrono::milliseconds timeout, Callback<void> done) {
         platform.engines().state(platform.engine(0), timeout, errorOnly<EngineState>(std::move(done)));
     }},
};

const FaultCase Faults[] = {
    {"none", {.fault = "clear"}, std::nullopt},
    {"out", {.fault = "out"}, ErrorCode::Unavailable},
    {"refused", {.fault = "refuse"}, ErrorCode::Unavailable},
    {"closed", {.fault = "close"}, ErrorCode::Unknown},
    {"half", {.fault = "half"}, ErrorCode::Unknown},
    {"silent", {.fault = "silent"}, ErrorCode::DeadlineExceeded},
    {"tooLate", {.fault = "delay", .duration = 10s}, ErrorCode::DeadlineExceeded},
    {"late", {.fault = "delay", .duration = 5ms}, std::nullopt},
};

const auto Backends = testing::Values(ContractBackend::Fake, ContractBackend::Http);

std::string nameOfCase(const testing::TestParamInfo<CallUnderFault::ParamType> &test)
{
    const auto &[backend, call, fault] = test.param;
    return nameOf(backend) + "_" + call.name + "_" + fault.name;
}

INSTANTIATE_TEST_SUITE_P(Table,
                         CallUnderFault,
                         testing::Combine(Backends, testing::ValuesIn(Calls), testing::ValuesIn(Faults)),
                         nameOfCase);

struct LostAppendCase
{
    std::string fault;
    std::size_t kept; // records in the log after one append
};

class LostAppend : public testing::TestWithParam<std::tuple<ContractBackend, LostAppendCase>>
{ };

// Each case has a connection of its own: on one that was used before, the library would send the append again.
TEST_P(LostAppend, leavesInTheLogWhatItWrote)
{
    const auto &[backend, lost] = GetParam();
    const std::unique_ptr<ContractPlatform> platform = makeContractPlatform(backend);
    ASSERT_TRUE(platform->fault("log", {.fault = lost.fault, .call = "append"}));
    EXPECT_FALSE(append(*platform, batch(1, 1)));
    EXPECT_EQ(read(*platform, 1, 10).value().records.size(), lost.kept);
}

INSTANTIATE_TEST_SUITE_P(Table,
                         LostAppend,
                         testing::Combine(Backends,
                                          testing::Values(LostAppendCase{"refuse", 0},
                                                          LostAppendCase{"close", 1},
                                                          LostAppendCase{"half", 1})));

class Contract : public testing::TestWithParam<ContractBackend>
{
protected:
    const std::unique_ptr<ContractPlatform> m_platform = makeContractPlatform(GetParam());
};

TEST_P(Contract, logGivesBackWhatWasAppended)
{
    EXPECT_EQ(append(*m_platform, batch(1, 3)), 1U);
    EXPECT_EQ(append(*m_platform, batch(4, 1)), 4U);
    const LogPage page = read(*m_platform, 2, 2).value();
    ASSERT_EQ(page.records.size(), 2U);
    EXPECT_EQ(page.records[0], (StoredRecord{2, batch(2, 1)[0]}));
    EXPECT_EQ(page.records[1].offset, 3U);
    EXPECT_EQ(page.end, 5U);
    EXPECT_TRUE(read(*m_platform, 5, 10).value().records.empty());
    EXPECT_TRUE(read(*m_platform, 100, 10).value().records.empty());
}

TEST_P(Contract, logTellsThatRecordsHaveExpired)
{
    ASSERT_TRUE(m_platform->fault("log", {.fault = "retain", .count = 2}));
    ASSERT_TRUE(append(*m_platform, batch(1, 5)));
    EXPECT_EQ(read(*m_platform, 3, 10).error().code, ErrorCode::Expired);
    const LogPage page = read(*m_platform, 4, 10).value();
    EXPECT_EQ(page.firstRetained, 4U);
    EXPECT_EQ(page.records.size(), 2U);
}

TEST_P(Contract, logRefusesWhatIsOverItsLimits)
{
    EXPECT_EQ(append(*m_platform, {}).error().code, ErrorCode::InvalidArgument);
    ASSERT_TRUE(m_platform->fault("log", {.fault = "limit", .count = 1}));
    ASSERT_TRUE(append(*m_platform, batch(1, 1)));
    const Result<Offset> over = append(*m_platform, batch(2, 1));
    ASSERT_FALSE(over);
    EXPECT_EQ(over.error().code, ErrorCode::Overloaded);
    EXPECT_TRUE(over.error().retryAfter);
}

TEST_P(Contract, listTellsMembersWithTheirState)
{
    const ListedMember instance{
        ListedKind::Instance, "i1", FailureDomainId("a"), {"127.0.0.1", 7000}, ListedState::Leaving, ""};
    ASSERT_TRUE(m_platform->put(instance));
    const auto members = m_platform->await<std::vector<ListedMember>>([&](Callback<std::vector<ListedMember>> done) {
        m_platform->list().fetch(Patience, std::move(done));
    });
    ASSERT_TRUE(members);
    EXPECT_EQ(std::count(members->begin(), members->end(), instance), 1);
}

TEST_P(Contract, weightStoreTellsTheNewestVersion)
{
    const auto published = [&] {
        return m_platform
            ->await<PublishedWeights>([&](Callback<PublishedWeights> done) {
                m_platform->weightStore().published(Model, Patience, std::move(done));
            })
            .value();
    };
    EXPECT_EQ(published().newest, 0U);
    ASSERT_TRUE(m_platform->publish(Model, 3));
    EXPECT_EQ(published().newest, 3U);
    EXPECT_FALSE(m_platform->publish(Model, 2));
    EXPECT_EQ(published().newest, 3U);
}

TEST_P(Contract, engineLabelsWhatItGenerated)
{
    const Result<Generation> generation = generate(*m_platform, 0, {"1", Model, "a \"prompt\", ä", 5, 0, ""});
    ASSERT_TRUE(generation) << generation.error().message;
    EXPECT_EQ(generation->spans, (std::vector<TokenSpan>{{1, 5}}));
    EXPECT_EQ(generation->text, generatedText("a \"prompt\", ä", generation->spans));
    EXPECT_EQ(generation->finish, "length");
}

TEST_P(Contract, engineRefusesWhatItCannotRun)
{
    EXPECT_EQ(generate(*m_platform, 0, {"1", Model, "p", 0, 0, ""}).error().code, ErrorCode::InvalidArgument);
    EXPECT_EQ(generate(*m_platform, 0, {"1", ModelId("other"), "p", 1, 0, ""}).error().code, ErrorCode::NotFound);
    EXPECT_EQ(generate(*m_platform, 0, {"1", Model, "p", 1, 0, "?"}).error().code, ErrorCode::InvalidArgument);
}

TEST_P(Contract, engineObeysTheHighestFencingNumber)
{
    ASSERT_TRUE(m_platform->publish(Model, 3));
    ASSERT_TRUE(order(*m_platform, 5, 2));
    ASSERT_TRUE(waitForState(*m_platform, [](const EngineState &now) {
        return now.version == 2 && now.loading == 0;
    }));
    EXPECT_EQ(order(*m_platform, 4, 3).error().code, ErrorCode::Conflict);
    EXPECT_EQ(state(*m_platform)->version, 2U);
    EXPECT_TRUE(order(*m_platform, 5, 2));
}

TEST_P(Contract, engineHandsAGenerationOverByItsCache)
{
    const GenerateRequest endless{"1", Model, "p", 100'000, 0, ""};
    const auto outcome = std::make_shared<std::promise<Result<Generation>>>();
    std::future<Result<Generation>> stopped = outcome->get_future();
    m_platform->engines().generate(m_platform->engine(0), endless, Patience, [outcome](Result<Generation> generation) {
        outcome->set_value(std::move(generation));
    });
    ASSERT_TRUE(waitForState(*m_platform, [](const EngineState &now) {
        return now.running == 1;
    }));
    const Result<std::string> handle = m_platform->await<std::string>([&](Callback<std::string> done) {
        m_platform->engines().exportCache(m_platform->engine(0), "1", Patience, std::move(done));
    });
    ASSERT_TRUE(handle) << handle.error().message;
    ASSERT_TRUE(m_platform->waitUntil([&] {
        return stopped.wait_for(1ms) == std::future_status::ready;
    }));
    const Result<Generation> first = stopped.get();
    ASSERT_TRUE(first);
    EXPECT_EQ(first->finish, "cancelled");
    const std::uint32_t whole = tokenCount(*first) + 2;
    const Result<Generation> resumed = generate(*m_platform, 1, {"2", Model, "p", whole, 0, *handle});
    ASSERT_TRUE(resumed) << resumed.error().message;
    EXPECT_EQ(tokenCount(*resumed), whole);
}

TEST_P(Contract, engineThatCrashesLosesWhatItRanAndRefusesUntilItIsBack)
{
    const auto outcome = std::make_shared<std::promise<Result<Generation>>>();
    std::future<Result<Generation>> lost = outcome->get_future();
    m_platform->engines().generate(
        m_platform->engine(0), {"1", Model, "p", 100'000, 0, ""}, Patience, [outcome](Result<Generation> generation) {
            outcome->set_value(std::move(generation));
        });
    ASSERT_TRUE(waitForState(*m_platform, [](const EngineState &now) {
        return now.running == 1;
    }));
    ASSERT_TRUE(m_platform->fault("engine", {.fault = "crash", .duration = DownTime}));
    ASSERT_TRUE(m_platform->waitUntil([&] {
        return lost.wait_for(1ms) == std::future_status::ready;
    }));
    EXPECT_EQ(lost.get().error().code, ErrorCode::Unknown);
    EXPECT_EQ(generate(*m_platform, 0, {"2", Model, "p", 1, 0, ""}).error().code, ErrorCode::Unavailable);
    EXPECT_TRUE(waitForState(*m_platform, [](const EngineState &now) {
        return now.crashes == 1;
    }));
    EXPECT_TRUE(generate(*m_platform, 0, {"3", Model, "p", 1, 0, ""}));
}

INSTANTIATE_TEST_SUITE_P(Table, Contract, Backends, [](const testing::TestParamInfo<ContractBackend> &test) {
    return nameOf(test.param);
});

} // namespace
} // namespace bergamot
