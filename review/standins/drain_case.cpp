#include "review/standins/drain_case.h"

#include <csignal>

#include "platform/standins/messages.h"

namespace bergamot::review
{

namespace
{

using namespace std::chrono_literals;

constexpr Duration ProbeInterval = 1s; // of the platform's balancer
constexpr int MissesToLeave = 2;
constexpr Duration StreamInterval = 200ms; // between two consumers' requests to the zone
constexpr Duration Warmup = 3s;
constexpr Duration StopInterval = 2s; // `gap_s` of a rolling stop
constexpr Duration Grace = 8s; // `grace_s`
constexpr Duration ExcusedAfterStop = 3s; // later requests count however long they take
constexpr Duration StartTimeout = 20s;
constexpr std::size_t EngineCount = 4;
constexpr std::size_t EventsPerStream = 40;

} // namespace

DrainCase::DrainCase(boost::asio::io_context &loop, platform::StoreStandin &store, CaseOptions options)
    : ReviewCase(loop, store, std::move(options))
    , m_rotation(m_options.nodes.size())
{
    m_store.put("keyed.op", "config", platform::configurationJson({.version = 1, .engineSlots = 8}));
    for (std::size_t number = 1; number <= EngineCount; ++number) {
        m_engines.push_back(std::make_unique<platform::EndpointStandin>(
            m_loop,
            m_store,
            platform::EndpointStandinOptions{.id = "e" + std::to_string(number),
                                             .service = "llm",
                                             .model = "m",
                                             .slots = 8,
                                             .eventInterval = 100ms,
                                             .eventsPerSample = EventsPerStream},
            m_observations,
            number));
        m_listening = m_listening && m_engines.back()->listen({"127.0.0.1", 0}).has_value();
    }
}

void DrainCase::start()
{
    if (!m_listening) {
        finish(Verdict::NotRun, "an engine cannot listen");
        return;
    }
    probe();
    waitUntilReady();
}

void DrainCase::probe()
{
    for (std::size_t node = 0; node < m_rotation.size(); ++node) {
        net::ClientRequest request{.to = m_options.nodes[node].ready,
                                   .target = "/bergamotwinch/readiness",
                                   .newConnection = true,
                                   .headTimeout = ProbeInterval};
        request.headers.add("Host", toString(request.to));
        net::startForWholeAnswer(m_client, std::move(request), [this, node](const net::WholeAnswer &answer) {
            const bool before = inRotation(node);
            const bool ready = answer.end.failure == net::CallFailure::None && answer.status == 200;
            m_rotation[node].misses = ready ? 0 : m_rotation[node].misses + 1;
            if (inRotation(node) != before) {
                write("node " + std::to_string(node + 1) + (before ? " leaves" : " joins") + " the rotation");
            }
        });
    }
    after(ProbeInterval, [this] {
        probe();
    });
}

bool DrainCase::inRotation(std::size_t node) const
{
    return m_rotation[node].misses < MissesToLeave;
}

std::size_t DrainCase::chooseNode()
{
    std::vector<std::size_t> used;
    for (std::size_t node = 0; node < m_rotation.size(); ++node) {
        if (inRotation(node)) {
            used.push_back(node);
        }
    }
    if (2 * used.size() < m_rotation.size()) {
        used.clear();
        for (std::size_t node = 0; node < m_rotation.size(); ++node) {
            used.push_back(node);
        }
    }
    return used[std::uniform_int_distribution<std::size_t>(0, used.size() - 1)(m_random)];
}

void DrainCase::waitUntilReady()
{
    std::size_t ready = 0;
    for (std::size_t node = 0; node < m_rotation.size(); ++node) {
        ready += inRotation(node) ? 1 : 0;
    }
    if (ready < m_rotation.size()) {
        if (elapsed() > StartTimeout) {
            finish(Verdict::NotRun, "the nodes do not become ready");
            return;
        }
        after(ProbeInterval, [this] {
            waitUntilReady();
        });
        return;
    }
    write("consumers begin");
    m_sending = true;
    sendStreams();
    if (m_options.trouble) {
        after(Warmup, [this] {
            stopNode(0);
        });
        after(Warmup + StopInterval, [this] {
            stopNode(1);
        });
    }
    after(Warmup + StopInterval + Grace, [this] {
        m_sending = false;
    });
    after(Warmup + StopInterval + Grace + 6s, [this] {
        finish(m_broken > 0 ? Verdict::Broken : Verdict::Held,
               std::to_string(m_broken) + " streams cut off by a stopping node that had read them later than 3 s after "
                   + "SIGTERM; " + std::to_string(m_excused) + " others cut off; sent " + std::to_string(m_sent)
                   + ", complete " + std::to_string(m_completed) + ", refused or not connected "
                   + std::to_string(m_refused));
    });
}

void DrainCase::sendStreams()
{
    if (!m_sending) {
        return;
    }
    send();
    after(StreamInterval, [this] {
        sendStreams();
    });
}

void DrainCase::send()
{
    auto stream = std::make_shared<Stream>(
        Stream{.id = "s" + std::to_string(++m_sent), .node = chooseNode(), .sentAt = elapsed()});
    net::ClientRequest request{.to = m_options.nodes[stream->node].callers,
                               .method = "POST",
                               .target = "/streams/1",
                               .body = "question",
                               .newConnection = true,
                               .headTimeout = 12s,
                               .bodyGapTimeout = 12s};
    request.headers.add("Host", platform::StandinHost);
    request.headers.add("Bergamotwinch-Attempt-Id", stream->id);
    request.headers.add("Bergamotwinch-Deadline-Ms", "12000");
    m_client.start(std::move(request),
                   {.onHead =
                        [stream](const net::ResponseHead &head) {
                            stream->status = head.status;
                        },
                    .onData =
                        [stream](std::string_view data) {
                            for (std::size_t at = data.find("\n\n"); at != std::string_view::npos;
                                 at = data.find("\n\n", at + 2)) {
                                ++stream->events;
                            }
                        },
                    .onEnd =
                        [this, stream](const net::CallEnd &end) {
                            ended(*stream, end);
                        }});
}

void DrainCase::ended(const Stream &stream, const net::CallEnd &end)
{
    const bool whole = end.failure == net::CallFailure::None;
    const bool ran = m_observations.sampleRuns.contains(stream.id);
    const std::optional<Duration> stoppedAt = m_rotation[stream.node].stoppedAt;
    const std::string text = "stream " + stream.id + " at node " + std::to_string(stream.node + 1);
    if (whole && stream.status == 200) {
        ++m_completed;
        return;
    }
    if (whole || !ran) {
        ++m_refused;
        write(text + " is not served: " + (whole ? "status " + std::to_string(stream.status) : end.detail));
        return;
    }
    const bool counts =
        stoppedAt && stream.sentAt > *stoppedAt + ExcusedAfterStop && elapsed() < *stoppedAt + Grace + 1s;
    ++(counts ? m_broken : m_excused);
    const auto sentAfter = stoppedAt ? std::chrono::duration_cast<std::chrono::milliseconds>(stream.sentAt - *stoppedAt)
                                     : std::chrono::milliseconds(0);
    write(text + " is cut off after " + std::to_string(stream.events) + " of " + std::to_string(EventsPerStream)
          + " events; sent " + std::to_string(sentAfter.count()) + " ms after SIGTERM" + (counts ? ": BROKEN" : ""));
}

void DrainCase::stopNode(std::size_t node)
{
    write("SIGTERM to node " + std::to_string(node + 1));
    m_rotation[node].stoppedAt = elapsed();
    ::kill(m_options.nodes[node].pid, SIGTERM);
}

} // namespace bergamot::review
