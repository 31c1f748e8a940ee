#pragma once

// In-process fakes of the platform for tests: the interfaces of bergamot/platform on the stand-ins' cores. Calls
// complete at once where no time is due, else while the test advances its FakeTime; nothing sleeps.
//
//     ManualClock clock;
//     FakeTime time(clock);
//     FakeLog log(time);
//     log.apply({.fault = "close", .call = "append"}); // the next append takes effect and loses its answer
//     log.append("config", records, 1s, [](Result<Offset> offset) { ... });

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "bergamot/platform/engine.h"
#include "bergamot/platform/instance_list.h"
#include "bergamot/platform/log.h"
#include "bergamot/platform/scoring.h"
#include "bergamot/platform/weight_store.h"
#include "bergamot/standins/engine_core.h"
#include "bergamot/standins/fake_time.h"
#include "bergamot/standins/list_core.h"
#include "bergamot/standins/log_core.h"
#include "bergamot/standins/scoring_core.h"
#include "bergamot/standins/weight_store_core.h"

namespace bergamot
{

/// Thread-safe, as all fakes here; callbacks run on the caller's thread or on that of `FakeTime::advance`.
class FakeLog final : public Log
{
public:
    explicit FakeLog(FakeTime &time, LogCoreOptions options = {});

    void append(const std::string &stream,
                std::vector<Record> batch,
                std::chrono::milliseconds timeout,
                Callback<Offset> done) override;
    void read(const std::string &stream,
              Offset from,
              std::size_t limit,
              std::chrono::milliseconds timeout,
              Callback<LogPage> done) override;

    Result<void> apply(const FaultCommand &command);
    void setOptions(LogCoreOptions options);
    /// Every record still kept, for checks.
    std::vector<StoredRecord> records(const std::string &stream);
    std::uint64_t appendCount();

private:
    FakeTime &m_time;
    std::mutex m_mutex;
    LogCore m_core;
};

class FakeInstanceList final : public InstanceList
{
public:
    explicit FakeInstanceList(FakeTime &time, Duration lag = Duration::zero());

    void fetch(std::chrono::milliseconds timeout, Callback<std::vector<ListedMember>> done) override;

    void put(const ListedMember &member);
    Result<void> setState(const std::string &id, ListedState state);
    void remove(const std::string &id);
    void setLag(Duration lag);
    Result<void> apply(const FaultCommand &command);

private:
    FakeTime &m_time;
    std::mutex m_mutex;
    ListCore m_core;
};

class FakeWeightStore final : public WeightStore, public WeightSource
{
public:
    explicit FakeWeightStore(FakeTime &time, WeightStoreOptions options = {});

    void published(const ModelId &model, std::chrono::milliseconds timeout, Callback<PublishedWeights> done) override;

    Result<void> publish(const ModelId &model, WeightVersion version);
    Result<void> apply(const FaultCommand &command);
    std::size_t fetching();
    std::uint64_t fetchesRefused();

    Result<Duration>
    beginFetch(const std::string &engine, const ModelId &model, WeightVersion version, TimePoint now) override;
    void endFetch(const std::string &engine) override;

private:
    FakeTime &m_time;
    std::mutex m_mutex;
    WeightStoreCore m_core;
};

class FakeScoring final : public ScoringService
{
public:
    explicit FakeScoring(FakeTime &time, Duration scoringTime = Duration::zero());

    void score(const std::string &prompt,
               const std::string &text,
               std::chrono::milliseconds timeout,
               Callback<double> done) override;

    Result<void> apply(const FaultCommand &command);
    std::uint64_t scoreCount();

private:
    FakeTime &m_time;
    std::mutex m_mutex;
    ScoringCore m_core;
};

/// Any number of engines, each at its own address. A call to an address without engine gets `Unavailable`.
class FakeEngines final : public EngineClient
{
public:
    explicit FakeEngines(FakeTime &time);

    /// `weights` may be null; otherwise it outlives this.
    void add(const Address &address, EngineCoreOptions options, WeightSource *weights = nullptr);
    void remove(const Address &address);
    Result<void> apply(const Address &engine, const FaultCommand &command);
    /// The true version, by the engine's own word.
    WeightVersion version(const Address &engine);
    std::map<std::string, std::uint64_t> runs(const Address &engine);

    void generate(const Address &engine,
                  const GenerateRequest &request,
                  std::chrono::milliseconds timeout,
                  Callback<Generation> done) override;
    void cancel(const Address &engine, const std::string &requestId, std::chrono::milliseconds timeout) override;
    void order(const Address &engine,
               const EngineOrder &order,
               std::chrono::milliseconds timeout,
               Callback<void> done) override;
    void state(const Address &engine, std::chrono::milliseconds timeout, Callback<EngineState> done) override;
    void exportCache(const Address &engine,
                     const std::string &requestId,
                     std::chrono::milliseconds timeout,
                     Callback<std::string> done) override;

private:
    using CallKey = std::pair<Address, std::string>; // engine, request id

    struct PendingCall
    {
        std::uint64_t number = 0;
        Answer<void> answer;
        TimePoint deadline;
        Callback<Generation> done;
    };

    struct Ended
    {
        PendingCall call;
        Result<Generation> outcome;
    };

    /// Runs `call` on the core at `engine` under the lock, then handles the events that it caused.
    template<typename T>
    Answer<T> onCore(const Address &engine, const std::function<Answer<T>(EngineCore &core)> &call);
    void pump(const Address &engine);
    std::vector<Ended> takeEnded(const Address &engine);
    void scheduleNext(const Address &engine);
    void expire(const CallKey &key, std::uint64_t number);

    FakeTime &m_time;
    std::mutex m_mutex;
    std::map<Address, std::unique_ptr<EngineCore>> m_engines;
    std::map<Address, TimePoint> m_scheduled;
    std::map<CallKey, PendingCall> m_calls;
    std::uint64_t m_lastNumber = 0;
};

} // namespace bergamot
