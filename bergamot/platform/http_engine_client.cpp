#include "bergamot/platform/http_engine_client.h"

#include "bergamot/platform/internal/http_call.h"
#include "bergamot/platform/platform_json.h"

namespace bergamot
{

using platform_internal::callJson;
using platform_internal::postRequest;

namespace
{

web::json::value requestIdBody(const std::string &requestId)
{
    web::json::value body = web::json::value::object();
    body["request_id"] = web::json::value(requestId);
    return body;
}

Result<void> parseNothing(const web::json::value & /*json*/, const std::string & /*path*/)
{
    return {};
}

} // namespace

HttpEngineClient::HttpEngineClient(HttpClient &http)
    : m_http(http)
{ }

void HttpEngineClient::generate(const Address &engine,
                                const GenerateRequest &request,
                                std::chrono::milliseconds timeout,
                                Callback<Generation> done)
{
    callJson<Generation>(m_http,
                         engine,
                         postRequest("/generate", toJson(request)),
                         {.timeout = timeout, .repeatable = false},
                         parseGeneration,
                         std::move(done));
}

void HttpEngineClient::cancel(const Address &engine, const std::string &requestId, std::chrono::milliseconds timeout)
{
    callJson<void>(m_http,
                   engine,
                   postRequest("/cancel", requestIdBody(requestId)),
                   {.timeout = timeout, .repeatable = true},
                   parseNothing,
                   [](const Result<void> & /*outcome*/) {});
}

void HttpEngineClient::order(const Address &engine,
                             const EngineOrder &order,
                             std::chrono::milliseconds timeout,
                             Callback<void> done)
{
    callJson<void>(m_http,
                   engine,
                   postRequest("/order", toJson(order)),
                   {.timeout = timeout, .repeatable = true},
                   parseNothing,
                   std::move(done));
}

void HttpEngineClient::state(const Address &engine, std::chrono::milliseconds timeout, Callback<EngineState> done)
{
    HttpRequest request;
    request.path = "/state";
    callJson<EngineState>(m_http,
                          engine,
                          std::move(request),
                          {.timeout = timeout, .repeatable = true},
                          parseEngineState,
                          std::move(done));
}

void HttpEngineClient::exportCache(const Address &engine,
                                   const std::string &requestId,
                                   std::chrono::milliseconds timeout,
                                   Callback<std::string> done)
{
    callJson<std::string>(m_http,
                          engine,
                          postRequest("/export", requestIdBody(requestId)),
                          {.timeout = timeout, .repeatable = false},
                          parseHandle,
                          std::move(done));
}

} // namespace bergamot
