// Measures the memory of open streams in the entry process: the allocated bytes per stream, and the bytes buffered for
// callers that do not read. The endpoint runs in the same process; its share is measured with streams opened directly
// to it.
//
//     build/bin/entry_stream_memory [STREAMS]

#include <arpa/inet.h>
#include <malloc.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <iostream>

#include "bergamot/entry/data_path.h"
#include "bergamot/entry/internal/fixed_control.h"
#include "bergamot/http/server.h"
#include "bergamot/http/threads.h"

namespace
{

using namespace bergamot;

constexpr std::size_t DefaultStreams = 400;
constexpr std::size_t SlowStreams = 20;
constexpr std::size_t PoolThreads = 4;
constexpr std::size_t ChunkBytes = 64U << 10U;
constexpr std::size_t SlowBytes = 24U << 20U; // written per slow stream; more than the kernel's socket buffers hold
constexpr double BytesPerKiB = 1024;
constexpr std::string_view Token = "token ";

/// Heap bytes that are allocated and not freed.
std::size_t allocatedBytes()
{
    const struct mallinfo2 info = ::mallinfo2();
    return info.uordblks + info.hblkhd;
}

/// An engine that keeps its streams open until `endAll`.
class OpenEndpoint
{
public:
    OpenEndpoint()
        : m_server({.address = {"127.0.0.1", 0},
                    .maxStreamBacklogBytes = SlowBytes * 2,
                    .maxStreamBacklogBytesInAll = SlowBytes * SlowStreams * 2},
                   [this](const HttpRequest &request, const ResponderPtr &responder) {
                       handleRequest(request, responder);
                   })
    { }

    HttpServer &server()
    {
        return m_server;
    }

    void waitForStreams(std::size_t count)
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait(lock, [&] {
            return m_streams.size() >= count;
        });
    }

    /// Writes `chunk` once to each stream from index `first` on, and repeats that `times` times.
    void writeToAll(std::size_t first, std::string_view chunk, std::size_t times)
    {
        for (std::size_t round = 0; round < times; ++round) {
            for (std::size_t index = first; index < m_streams.size(); ++index) {
                m_streams[index]->write(chunk);
            }
        }
    }

    void endAll()
    {
        for (const ResponderPtr &stream : std::exchange(m_streams, {})) {
            stream->endStream();
        }
    }

private:
    void handleRequest(const HttpRequest &request, const ResponderPtr &responder)
    {
        if (request.path == "/cancel") {
            responder->reply({.body = "{}"});
            return;
        }
        responder->beginStream({});
        const std::lock_guard lock(m_mutex);
        m_streams.push_back(responder);
        m_changed.notify_all();
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<ResponderPtr> m_streams;
    HttpServer m_server;
};

/// A connection that requests a stream and reads only in `readUntil`.
class Caller
{
public:
    Caller(const Address &to, const std::string &path)
        : m_descriptor(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in name{};
        name.sin_family = AF_INET;
        name.sin_port = htons(to.port);
        inet_pton(AF_INET, to.ip.c_str(), &name.sin_addr);
        const std::string body = R"({"prompt":"quote","max_tokens":64,"stream":true})";
        const std::string request = "POST " + path + " HTTP/1.1\r\nHost: x\r\nX-Deadline-Ms: 600000\r\nContent-Length: "
            + std::to_string(body.size()) + "\r\n\r\n" + body;
        m_sent = ::connect(m_descriptor, reinterpret_cast<sockaddr *>(&name), sizeof(name)) == 0
            && ::send(m_descriptor, request.data(), request.size(), MSG_NOSIGNAL)
                == static_cast<ssize_t>(request.size());
    }

    ~Caller()
    {
        ::close(m_descriptor);
    }

    Caller(const Caller &) = delete;
    Caller &operator=(const Caller &) = delete;

    bool sent() const
    {
        return m_sent;
    }

    /// Reads until `text` has been received or the connection ends.
    void readUntil(std::string_view text) const
    {
        std::string received;
        std::string part(ChunkBytes, '\0');
        while (received.find(text) == std::string::npos) {
            const ssize_t count = ::recv(m_descriptor, part.data(), part.size(), 0);
            if (count <= 0) {
                return;
            }
            received.append(part, 0, static_cast<std::size_t>(count));
        }
    }

private:
    int m_descriptor;
    bool m_sent = false;
};

using Callers = std::vector<std::unique_ptr<Caller>>;

Callers open(const Address &to, const std::string &path, std::size_t count)
{
    Callers callers;
    for (std::size_t index = 0; index < count; ++index) {
        callers.push_back(std::make_unique<Caller>(to, path));
    }
    return callers;
}

class Measurement
{
public:
    bool start()
    {
        if (!m_endpoint.server().start()) {
            return false;
        }
        DataPathOptions options;
        options.instance = InstanceId("instance-1");
        options.router.target.pool.instance = "instance-1";
        options.router.target.pool.domain = FailureDomainId("a");
        options.router.target.pool.limit.initial = DefaultStreams * 8;
        options.router.target.pool.limit.maximum = DefaultStreams * 8;
        m_path = std::make_unique<DataPath>(
            options,
            m_clock,
            std::make_shared<FixedControl>(inner::EndpointKind::Engine, "agent", m_endpoint.server().address()),
            m_metrics);
        while (!m_path->ready()) {
            std::this_thread::yield();
        }
        return m_entry.start().has_value();
    }

    /// Allocated bytes per stream while `count` streams are open.
    double bytesPerStream(bool throughEntry, std::size_t count)
    {
        const Address to = throughEntry ? m_entry.address() : m_endpoint.server().address();
        const std::string path = throughEntry ? "/v1/models/agent/generate" : "/generate";
        const std::size_t before = allocatedBytes();
        const Callers callers = open(to, path, count);
        m_endpoint.waitForStreams(count);
        m_endpoint.writeToAll(0, Token, 1);
        for (const auto &caller : callers) {
            caller->readUntil(Token);
        }
        const std::size_t after = allocatedBytes();
        m_endpoint.endAll();
        m_entry.drain(std::chrono::seconds(10));
        m_endpoint.server().drain(std::chrono::seconds(10));
        return (static_cast<double>(after) - static_cast<double>(before)) / static_cast<double>(count);
    }

    /// Maximum number of bytes buffered for streams whose callers read nothing.
    std::size_t maxBacklogOfSlowCallers()
    {
        const Callers callers = open(m_entry.address(), "/v1/models/agent/generate", SlowStreams);
        m_endpoint.waitForStreams(SlowStreams);
        m_endpoint.writeToAll(0, std::string(ChunkBytes, 'x'), SlowBytes / ChunkBytes);
        m_endpoint.endAll();
        m_endpoint.server().drain(std::chrono::seconds(10));
        return m_entry.mostStreamBacklogBytes();
    }

private:
    SystemClock m_clock;
    Metrics m_metrics;
    OpenEndpoint m_endpoint;
    std::unique_ptr<DataPath> m_path;
    HttpServer m_entry{{.address = {"127.0.0.1", 0}}, [this](HttpRequest request, ResponderPtr responder) {
                           m_path->handle(std::move(request), std::move(responder));
                       }};
};

} // namespace

int main(int argc, char **argv)
{
    initializeHttpThreads(PoolThreads);
    const std::size_t streams = argc > 1 ? std::stoul(argv[1]) : DefaultStreams;
    Measurement measurement;
    if (!measurement.start()) {
        std::cerr << "cannot listen on the loopback interface\n";
        return 1;
    }
    measurement.bytesPerStream(true, streams); // warm-up: memory pools grow in the first round and keep their size
    const double direct = measurement.bytesPerStream(false, streams);
    const double routed = measurement.bytesPerStream(true, streams);
    std::cout << streams << " open streams: " << routed / BytesPerKiB << " KiB per stream through the entry process, "
              << direct / BytesPerKiB << " KiB of that for endpoint and caller; entry process "
              << (routed - direct) / BytesPerKiB << " KiB\n";
    const std::size_t held = measurement.maxBacklogOfSlowCallers();
    std::cout << SlowStreams << " callers that do not read, " << SlowBytes / 1024 / 1024
              << " MiB written to each stream: at most " << static_cast<double>(held) / BytesPerKiB << " KiB buffered, "
              << static_cast<double>(held) / BytesPerKiB / SlowStreams << " KiB per stream\n";
    return 0;
}
