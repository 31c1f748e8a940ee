#pragma once

// The client of the platform's instance list over HTTP.
//
//     HttpInstanceList list(http, address);
//     list.fetch(1s, [](Result<std::vector<ListedMember>> members) { ... });

#include "bergamot/http/client.h"
#include "bergamot/platform/instance_list.h"

namespace bergamot
{

/// Thread-safe; callbacks run on the threads of `http`, which outlives this.
class HttpInstanceList final : public InstanceList
{
public:
    HttpInstanceList(HttpClient &http, Address list);

    void fetch(std::chrono::milliseconds timeout, Callback<std::vector<ListedMember>> done) override;

private:
    HttpClient &m_http;
    Address m_list;
};

} // namespace bergamot
