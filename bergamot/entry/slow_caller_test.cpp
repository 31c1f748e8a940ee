// A caller that does not read its stream, over real TCP: the bytes buffered for it stay bounded, its generation is
// cancelled, and other callers are not delayed.

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <arpa/inet.h>

#include "bergamot/entry/data_path_test_fixture.h"
#include "bergamot/http/client.h"

namespace bergamot
{

namespace
{

using namespace std::chrono_literals;

constexpr std::size_t ChunkBytes = 64U << 10U;
constexpr std::size_t MaxFloodBytes = 64U << 20U; // far more than the kernel's buffers for one connection hold
constexpr std::size_t MaxBacklogBytes = 256U << 10U;
constexpr int ReceiveBufferBytes = 4096;

/// An endpoint whose generations stay open until the test ends them; it records which were cancelled.
class OpenEndpoint
{
public:
    OpenEndpoint()
        : m_server({.address = {"127.0.0.1", 0}, .maxStreamBacklogBytes = MaxFloodBytes * 2},
                   [this](const HttpRequest &request, const ResponderPtr &responder) {
                       handleRequest(request, responder);
                   })
    {
        EXPECT_TRUE(m_server.start());
    }

    Address address() const
    {
        return m_server.address();
    }

    /// Waits for the generation with this prompt to begin and returns its stream.
    ResponderPtr stream(const std::string &prompt)
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait_for(lock, TestTimeout, [&] {
            return m_streams.count(prompt) != 0;
        });
        return m_streams[prompt];
    }

    /// Whether the generation `prompt` was cancelled, waiting at most `limit`.
    bool cancelled(const std::string &prompt, std::chrono::milliseconds limit)
    {
        std::unique_lock lock(m_mutex);
        return m_changed.wait_for(lock, limit, [&] {
            return m_cancelled.count(m_ids[prompt]) != 0;
        });
    }

private:
    void handleRequest(const HttpRequest &request, const ResponderPtr &responder)
    {
        const web::json::value body = web::json::value::parse(request.body);
        const std::lock_guard lock(m_mutex);
        const std::string id = body.at("request_id").as_string();
        if (request.path == "/cancel") {
            m_cancelled.insert(id);
            responder->reply({.body = "{}"});
        } else {
            const std::string prompt = body.at("prompt").as_string();
            m_ids[prompt] = id;
            responder->beginStream({});
            m_streams[prompt] = responder;
        }
        m_changed.notify_all();
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, ResponderPtr> m_streams;
    std::map<std::string, std::string> m_ids;
    std::set<std::string> m_cancelled;
    HttpServer m_server;
};

/// A connection that sends one request and reads nothing until `readAll`.
class NonReadingCaller
{
public:
    NonReadingCaller(const Address &to, const std::string &request)
        : m_descriptor(::socket(AF_INET, SOCK_STREAM, 0))
    {
        ::setsockopt(m_descriptor, SOL_SOCKET, SO_RCVBUF, &ReceiveBufferBytes, sizeof(ReceiveBufferBytes));
        sockaddr_in name{};
        name.sin_family = AF_INET;
        name.sin_port = htons(to.port);
        inet_pton(AF_INET, to.ip.c_str(), &name.sin_addr);
        EXPECT_EQ(::connect(m_descriptor, reinterpret_cast<sockaddr *>(&name), sizeof(name)), 0);
        EXPECT_EQ(::send(m_descriptor, request.data(), request.size(), 0), static_cast<ssize_t>(request.size()));
    }

    ~NonReadingCaller()
    {
        ::close(m_descriptor);
    }

    NonReadingCaller(const NonReadingCaller &) = delete;
    NonReadingCaller &operator=(const NonReadingCaller &) = delete;

    /// Reads until the connection ends.
    std::string readAll() const
    {
        std::string text;
        std::string part(ChunkBytes, '\0');
        for (ssize_t count = 1; count > 0;) {
            count = ::recv(m_descriptor, part.data(), part.size(), 0);
            text.append(part, 0, static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
        }
        return text;
    }

private:
    int m_descriptor;
};

std::string generateBody(const std::string &prompt)
{
    return R"({"prompt":")" + prompt + R"(","max_tokens":4,"stream":true})";
}

std::string rawGenerate(const std::string &prompt)
{
    const std::string body = generateBody(prompt);
    return "POST /v1/models/agent/generate HTTP/1.1\r\nHost: x\r\nX-Deadline-Ms: 60000\r\nContent-Type: "
           "application/json\r\nContent-Length: "
        + std::to_string(body.size()) + "\r\n\r\n" + body;
}

class SlowCaller : public DataPathTest
{
protected:
    void SetUp() override
    {
        ASSERT_TRUE(m_entry.start());
        publishView({{m_endpoint.address()}});
    }

    void TearDown() override
    {
        EXPECT_TRUE(m_entry.drain(TestTimeout));
    }

    /// Writes to the stream of `prompt` until it is cancelled, and returns the number of bytes written.
    std::size_t floodUntilCancelled(const std::string &prompt)
    {
        const std::string chunk(ChunkBytes, 'x');
        const ResponderPtr stream = m_endpoint.stream(prompt);
        std::size_t written = 0;
        while (written < MaxFloodBytes && !m_endpoint.cancelled(prompt, 0ms)) {
            stream->write(chunk);
            written += chunk.size();
        }
        return written;
    }

    OpenEndpoint m_endpoint;
    HttpServer m_entry{{.address = {"127.0.0.1", 0}, .maxStreamBacklogBytes = MaxBacklogBytes},
                       [this](HttpRequest request, ResponderPtr responder) {
                           m_path.handle(std::move(request), std::move(responder));
                       }};
};

TEST_F(SlowCaller, isDisconnectedAtTheBacklogLimitAndItsGenerationCancelled)
{
    const NonReadingCaller slow(m_entry.address(), rawGenerate("slow"));
    floodUntilCancelled("slow");
    EXPECT_TRUE(m_endpoint.cancelled("slow", TestTimeout));
    EXPECT_LE(m_entry.mostStreamBacklogBytes(), MaxBacklogBytes + ChunkBytes);
    const std::string seen = slow.readAll();
    EXPECT_EQ(seen.rfind("HTTP/1.1 200", 0), 0U);
    EXPECT_EQ(seen.find("\r\n0\r\n\r\n"), std::string::npos) << "an aborted stream must not end like a complete one";
    m_endpoint.stream("slow")->endStream();
}

TEST_F(SlowCaller, doesNotDelayOtherCallers)
{
    const NonReadingCaller slow(m_entry.address(), rawGenerate("slow"));
    HttpClient client;
    std::promise<CallOutcome> ended;
    std::mutex mutex;
    std::string received;
    std::condition_variable arrived;
    HttpRequest request{.method = "POST", .path = "/v1/models/agent/generate", .body = generateBody("quick")};
    request.headers["X-Deadline-Ms"] = "60000";
    const auto call = client.callStreaming(m_entry.address(),
                                           std::move(request),
                                           {.timeout = TestTimeout},
                                           {.head = [](const HttpResponse &) {},
                                            .chunk =
                                                [&](std::string_view chunk) {
                                                    const std::lock_guard lock(mutex);
                                                    received.append(chunk);
                                                    arrived.notify_all();
                                                    return true;
                                                }},
                                           [&ended](CallOutcome outcome) {
                                               ended.set_value(std::move(outcome));
                                           });
    const ResponderPtr quick = m_endpoint.stream("quick");
    const std::string flood(ChunkBytes, 'x');
    const ResponderPtr slowStream = m_endpoint.stream("slow");
    std::string sent;
    for (int round = 0; round < 32; ++round) {
        slowStream->write(flood);
        quick->write("token ");
        sent += "token ";
        std::unique_lock lock(mutex);
        ASSERT_TRUE(arrived.wait_for(lock, TestTimeout, [&] {
            return received == sent;
        }));
    }
    quick->endStream();
    EXPECT_TRUE(ended.get_future().get());
    floodUntilCancelled("slow");
    EXPECT_TRUE(m_endpoint.cancelled("slow", TestTimeout));
    slow.readAll();
    slowStream->endStream();
}

} // namespace

} // namespace bergamot
