#include "bergamot/platform/http_log.h"

#include "bergamot/platform/internal/http_call.h"
#include "bergamot/platform/platform_json.h"

namespace bergamot
{

namespace
{

/// A page is of use only if it starts where it was asked for.
Result<LogPage> checkStart(Result<LogPage> page, Offset from)
{
    if (page && !page->records.empty() && page->records.front().offset != from) {
        return failure(ErrorCode::Internal, "answer.records[0].offset must be " + std::to_string(from));
    }
    return page;
}

} // namespace

HttpLog::HttpLog(HttpClient &http, Address log)
    : m_http(http)
    , m_log(std::move(log))
{ }

void HttpLog::append(const std::string &stream,
                     std::vector<Record> batch,
                     std::chrono::milliseconds timeout,
                     Callback<Offset> done)
{
    HttpRequest request = platform_internal::postRequest("/log/" + stream + "/append", toJson(batch));
    // Readers drop a second copy by its id, so the library may send an append again.
    const CallOptions options{.timeout = timeout, .repeatable = true};
    platform_internal::callJson<Offset>(m_http, m_log, std::move(request), options, parseOffset, std::move(done));
}

void HttpLog::read(const std::string &stream,
                   Offset from,
                   std::size_t limit,
                   std::chrono::milliseconds timeout,
                   Callback<LogPage> done)
{
    HttpRequest request;
    request.path = "/log/" + stream + "/read";
    request.query = {{"from", std::to_string(from)}, {"limit", std::to_string(limit)}};
    platform_internal::callJson<LogPage>(m_http,
                                         m_log,
                                         std::move(request),
                                         {.timeout = timeout, .repeatable = true},
                                         parseLogPage,
                                         [from, done = std::move(done)](Result<LogPage> page) {
                                             done(checkStart(std::move(page), from));
                                         });
}

} // namespace bergamot
