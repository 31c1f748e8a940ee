#include "review/standins/review_case.h"

#include <cstdio>

#include "platform/standins/messages.h"

namespace bergamot::review
{

namespace
{

const char *verdictName(Verdict verdict)
{
    if (verdict == Verdict::NotRun) {
        return "not run";
    }
    return verdict == Verdict::Held ? "held" : "broken";
}

} // namespace

ReviewCase::ReviewCase(boost::asio::io_context &loop, platform::StoreStandin &store, CaseOptions options)
    : m_loop(loop)
    , m_store(store)
    , m_options(std::move(options))
    , m_client(loop, {})
    , m_startedAt(BootClock::now())
{ }

Verdict ReviewCase::result() const
{
    return m_result;
}

void ReviewCase::after(Duration delay, Step step)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(m_loop, delay);
    timer->async_wait([timer, step = std::move(step)](const boost::system::error_code &error) {
        if (!error) {
            step();
        }
    });
}

Duration ReviewCase::elapsed() const
{
    return BootClock::now() - m_startedAt;
}

void ReviewCase::write(const std::string &line) const
{
    const double seconds = std::chrono::duration<double>(elapsed()).count();
    std::printf("%8.3f %s\n", seconds, line.c_str());
}

void ReviewCase::finish(Verdict verdict, const std::string &reason)
{
    write(std::string(verdictName(verdict)) + ": " + reason);
    m_result = verdict;
    m_loop.stop();
}

void ReviewCase::call(std::size_t node, net::ClientRequest request, std::function<void(const net::WholeAnswer &)> done)
{
    request.to = m_options.nodes.at(node).callers;
    request.newConnection = true;
    request.headers.set("Host", platform::StandinHost);
    net::startForWholeAnswer(m_client, std::move(request), std::move(done));
}

} // namespace bergamot::review
