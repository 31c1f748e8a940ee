#pragma once

// The client of the platform's log over HTTP.
//
//     HttpClient http;
//     HttpLog log(http, address);
//     log.append("config", records, 1s, [](Result<Offset> offset) { ... });

#include "bergamot/http/client.h"
#include "bergamot/platform/log.h"

namespace bergamot
{

/// Thread-safe; callbacks run on the threads of `http`, which outlives this. An `Internal` error (an answer that cannot
/// be read) leaves open whether an append took effect, as `Unknown` does.
class HttpLog final : public Log
{
public:
    HttpLog(HttpClient &http, Address log);

    void append(const std::string &stream,
                std::vector<Record> batch,
                std::chrono::milliseconds timeout,
                Callback<Offset> done) override;
    void read(const std::string &stream,
              Offset from,
              std::size_t limit,
              std::chrono::milliseconds timeout,
              Callback<LogPage> done) override;

private:
    HttpClient &m_http;
    Address m_log;
};

} // namespace bergamot
