#pragma once

// The platform that contract tests run on: the same cases see the in-process fakes and the real clients over HTTP
// against a stand-in on loopback.
//
//     const std::unique_ptr<ContractPlatform> platform = makeContractPlatform(ContractBackend::Http);
//     platform->fault("log", {.fault = "close", .call = "append"});
//     Result<Offset> appended = platform->append("config", records);

#include <chrono>
#include <future>
#include <memory>
#include <string>
#include <vector>

#include "bergamot/platform/engine.h"
#include "bergamot/platform/instance_list.h"
#include "bergamot/platform/log.h"
#include "bergamot/platform/scoring.h"
#include "bergamot/platform/weight_store.h"
#include "bergamot/standins/standin.h"

namespace bergamot
{

enum class ContractBackend {
    Fake,
    Http,
};

/// A platform with one log, list, weight store, scoring service and two engines of the model "order-agent", which boot
/// with version 1. The list shows changes at once.
class ContractPlatform
{
public:
    virtual ~ContractPlatform() = default;

    virtual Log &log() = 0;
    virtual InstanceList &list() = 0;
    virtual WeightStore &weightStore() = 0;
    virtual ScoringService &scoring() = 0;
    virtual EngineClient &engines() = 0;
    virtual Address engine(std::size_t index) const = 0;

    /// Switches a fault of `role`: "log", "list", "weight-store", "scoring", "engine".
    virtual Result<void> fault(const std::string &role, const FaultCommand &command) = 0;
    virtual Result<void> put(const ListedMember &member) = 0;
    virtual Result<void> publish(const ModelId &model, WeightVersion version) = 0;

    /// Lets time pass until `isReady`; false if that takes longer than a test may wait.
    virtual bool waitUntil(const std::function<bool()> &isReady) = 0;

    /// Makes a call and waits for its outcome.
    template<typename T>
    Result<T> await(const std::function<void(Callback<T> done)> &call)
    {
        const auto outcome = std::make_shared<std::promise<Result<T>>>();
        std::future<Result<T>> future = outcome->get_future();
        call([outcome](Result<T> result) {
            outcome->set_value(std::move(result));
        });
        const bool ready = waitUntil([&future] {
            return future.wait_for(std::chrono::milliseconds(1)) == std::future_status::ready;
        });
        return ready ? future.get() : failure(ErrorCode::Internal, "the call was never answered");
    }
};

std::unique_ptr<ContractPlatform> makeContractPlatform(ContractBackend backend);

} // namespace bergamot
