#pragma once

// Base of the cases of the review. A case plays the operator, consumers and a trainer against running nodes and checks
// one rule from what they and the engines see.
//
//     WeightsCase weights(loop, store, options);
//     weights.start();
//     loop.run();
//     return weights.result();

#include <functional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "bergamot/net/http_client.h"
#include "bergamot/net/whole_answer.h"
#include "platform/standins/store_standin.h"

namespace bergamot::review
{

struct NodeProcess
{
    Address callers; // consumer-facing address
    Address ready;
    int pid = 0;
};

struct CaseOptions
{
    std::vector<NodeProcess> nodes;
    bool trouble = false; // cause the disruption
};

/// Exit codes of a case.
enum class Verdict {
    Held = 0,
    Broken = 1,
    NotRun = 2,
};

/// Not thread-safe.
class ReviewCase
{
public:
    ReviewCase(boost::asio::io_context &loop, platform::StoreStandin &store, CaseOptions options);
    virtual ~ReviewCase() = default;
    ReviewCase(const ReviewCase &) = delete;
    ReviewCase &operator=(const ReviewCase &) = delete;

    virtual void start() = 0;
    Verdict result() const;

protected:
    using Step = std::function<void()>;

    void after(Duration delay, Step step);
    /// Time since the start of the case.
    Duration elapsed() const;
    /// Writes one line to the record, with the time.
    void write(const std::string &line) const;
    void finish(Verdict verdict, const std::string &reason);
    /// Calls a node on a new connection.
    void call(std::size_t node, net::ClientRequest request, std::function<void(const net::WholeAnswer &)> done);

    boost::asio::io_context &m_loop;
    platform::StoreStandin &m_store;
    CaseOptions m_options;
    net::HttpClient m_client;

private:
    TimePoint m_startedAt;
    Verdict m_result = Verdict::NotRun;
};

} // namespace bergamot::review
