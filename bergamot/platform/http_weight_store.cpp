#include "bergamot/platform/http_weight_store.h"

#include "bergamot/platform/internal/http_call.h"
#include "bergamot/platform/platform_json.h"

namespace bergamot
{

HttpWeightStore::HttpWeightStore(HttpClient &http, Address store)
    : m_http(http)
    , m_store(std::move(store))
{ }

void HttpWeightStore::published(const ModelId &model,
                                std::chrono::milliseconds timeout,
                                Callback<PublishedWeights> done)
{
    HttpRequest request;
    request.path = "/weights/" + model.value();
    platform_internal::callJson<PublishedWeights>(m_http,
                                                  m_store,
                                                  std::move(request),
                                                  {.timeout = timeout, .repeatable = true},
                                                  parsePublishedWeights,
                                                  std::move(done));
}

} // namespace bergamot
