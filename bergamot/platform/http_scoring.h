#pragma once

// The client of a scoring service over HTTP.
//
//     HttpScoring scoring(http, address);
//     scoring.score(prompt, text, 1s, [](Result<double> score) { ... });

#include "bergamot/http/client.h"
#include "bergamot/platform/scoring.h"

namespace bergamot
{

/// Thread-safe; callbacks run on the threads of `http`, which outlives this.
class HttpScoring final : public ScoringService
{
public:
    HttpScoring(HttpClient &http, Address scoring);

    void score(const std::string &prompt,
               const std::string &text,
               std::chrono::milliseconds timeout,
               Callback<double> done) override;

private:
    HttpClient &m_http;
    Address m_scoring;
};

} // namespace bergamot
