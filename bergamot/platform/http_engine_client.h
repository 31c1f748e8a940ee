#pragma once

// The client of the model engines over HTTP; each engine has its own address.
//
//     HttpEngineClient engines(http);
//     engines.generate(address, request, 30s, [](Result<Generation> generation) { ... });

#include "bergamot/http/client.h"
#include "bergamot/platform/engine.h"

namespace bergamot
{

/// Thread-safe; callbacks run on the threads of `http`, which outlives this. A generation is never sent twice, nor an
/// export. An `Internal` error (an answer that cannot be read) leaves open what ran.
class HttpEngineClient final : public EngineClient
{
public:
    explicit HttpEngineClient(HttpClient &http);

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
    HttpClient &m_http;
};

} // namespace bergamot
