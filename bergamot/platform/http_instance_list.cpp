#include "bergamot/platform/http_instance_list.h"

#include "bergamot/platform/internal/http_call.h"
#include "bergamot/platform/platform_json.h"

namespace bergamot
{

HttpInstanceList::HttpInstanceList(HttpClient &http, Address list)
    : m_http(http)
    , m_list(std::move(list))
{ }

void HttpInstanceList::fetch(std::chrono::milliseconds timeout, Callback<std::vector<ListedMember>> done)
{
    HttpRequest request;
    request.path = "/instances";
    platform_internal::callJson<std::vector<ListedMember>>(
        m_http, m_list, std::move(request), {.timeout = timeout, .repeatable = true}, parseMembers, std::move(done));
}

} // namespace bergamot
