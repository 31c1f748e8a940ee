#pragma once

// The client of the platform's weight store over HTTP.
//
//     HttpWeightStore store(http, address);
//     store.published(ModelId("order-agent"), 1s, [](Result<PublishedWeights> published) { ... });

#include "bergamot/http/client.h"
#include "bergamot/platform/weight_store.h"

namespace bergamot
{

/// Thread-safe; callbacks run on the threads of `http`, which outlives this.
class HttpWeightStore final : public WeightStore
{
public:
    HttpWeightStore(HttpClient &http, Address store);

    void published(const ModelId &model, std::chrono::milliseconds timeout, Callback<PublishedWeights> done) override;

private:
    HttpClient &m_http;
    Address m_store;
};

} // namespace bergamot
