#include "bergamot/platform/http_scoring.h"

#include "bergamot/platform/internal/http_call.h"
#include "bergamot/platform/platform_json.h"

namespace bergamot
{

HttpScoring::HttpScoring(HttpClient &http, Address scoring)
    : m_http(http)
    , m_scoring(std::move(scoring))
{ }

void HttpScoring::score(const std::string &prompt,
                        const std::string &text,
                        std::chrono::milliseconds timeout,
                        Callback<double> done)
{
    web::json::value body = web::json::value::object();
    body["prompt"] = web::json::value(prompt);
    body["text"] = web::json::value(text);
    platform_internal::callJson<double>(m_http,
                                        m_scoring,
                                        platform_internal::postRequest("/score", body),
                                        {.timeout = timeout, .repeatable = true},
                                        parseScore,
                                        std::move(done));
}

} // namespace bergamot
