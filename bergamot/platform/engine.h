#pragma once

// A model engine: generates tokens with continuous batching, says which weight version made each span of them, takes
// orders, and reports its load with a lag.

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "bergamot/base/address.h"
#include "bergamot/base/error.h"
#include "bergamot/base/ids.h"

namespace bergamot
{

/// `tokenCount` tokens in a row that one version produced, by the engine's own word.
struct TokenSpan
{
    WeightVersion version = 0;
    std::uint32_t tokenCount = 0;

    bool operator==(const TokenSpan &) const = default;
};

struct GenerateRequest
{
    std::string requestId; // unique for each dispatch; names it to `cancel` and `exportCache`
    ModelId model;
    std::string prompt;
    std::uint32_t maxTokens = 0;
    std::uint32_t priority = 0; // 0 is the most urgent
    std::string resumeFrom; // a handle from `exportCache`, or empty
};

struct Generation
{
    std::string text;
    std::vector<TokenSpan> spans; // in order; covers every token
    std::string finish; // "stop", "length" or "cancelled"
};

enum class EngineRole {
    Serving,
    Idle,
};

struct EngineOrder
{
    FencingNumber fencing = 0;
    ModelId model;
    WeightVersion version = 0;
    EngineRole role = EngineRole::Serving;

    bool operator==(const EngineOrder &) const = default;
};

struct EngineState
{
    ModelId model;
    WeightVersion version = 0; // what it generates with now
    WeightVersion loading = 0; // what it is loading, or 0
    std::uint32_t running = 0; // requests in the batch
    std::uint32_t waiting = 0; // requests queued before the batch
    std::uint32_t slots = 1; // size of the batch; 0: its load is not known
    std::chrono::milliseconds loadAge{0}; // how old the load figures are
    bool leaving = false;
    std::uint64_t crashes = 0; // how often it has restarted

    bool operator==(const EngineState &) const = default;
};

/// Thread-safe. Errors as in `ErrorCode`: `Unavailable` is proof that nothing ran.
class EngineClient
{
public:
    virtual ~EngineClient() = default;

    virtual void generate(const Address &engine,
                          const GenerateRequest &request,
                          std::chrono::milliseconds timeout,
                          Callback<Generation> done) = 0;
    /// Ends a generation early. Idempotent; an unknown id is no error.
    virtual void cancel(const Address &engine, const std::string &requestId, std::chrono::milliseconds timeout) = 0;
    /// Idempotent by target state. `Conflict` if the engine has seen a higher fencing number.
    virtual void
    order(const Address &engine, const EngineOrder &order, std::chrono::milliseconds timeout, Callback<void> done) = 0;
    virtual void state(const Address &engine, std::chrono::milliseconds timeout, Callback<EngineState> done) = 0;
    /// Stops a generation and hands out a handle with which another engine resumes it.
    virtual void exportCache(const Address &engine,
                             const std::string &requestId,
                             std::chrono::milliseconds timeout,
                             Callback<std::string> done) = 0;
};

} // namespace bergamot
