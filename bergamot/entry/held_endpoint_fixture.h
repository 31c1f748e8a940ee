#pragma once

// Test fixture with an endpoint that holds requests, streams and cancellations until the test answers them.

#include "bergamot/entry/data_path_test_fixture.h"

namespace bergamot
{

using namespace std::chrono_literals;

/// An endpoint that can hold requests until `release`, and streams generations. A request with the body "poison" breaks
/// its connection and those of the held requests, as a crash does.
class HeldEndpoint
{
public:
    HeldEndpoint()
        : m_server({.address = {"127.0.0.1", 0}}, [this](HttpRequest request, ResponderPtr responder) {
            handleRequest(std::move(request), std::move(responder));
        })
    {
        EXPECT_TRUE(m_server.start());
    }

    ~HeldEndpoint()
    {
        release();
        m_server.stop();
    }

    Address address() const
    {
        return m_server.address();
    }

    void hold()
    {
        const std::lock_guard lock(m_mutex);
        m_holding = true;
    }

    void release()
    {
        std::vector<ResponderPtr> held;
        {
            const std::lock_guard lock(m_mutex);
            m_holding = false;
            held = std::exchange(m_held, {});
        }
        for (const ResponderPtr &responder : held) {
            responder->reply({.body = "{}"});
        }
    }

    bool waitForRequests(std::size_t count)
    {
        std::unique_lock lock(m_mutex);
        return m_changed.wait_for(lock, TestTimeout, [&] {
            return m_bodies.size() >= count;
        });
    }

    bool waitForPath(const std::string &path)
    {
        std::unique_lock lock(m_mutex);
        return m_changed.wait_for(lock, TestTimeout, [&] {
            return std::find(m_paths.begin(), m_paths.end(), path) != m_paths.end();
        });
    }

    std::size_t requests() const
    {
        const std::lock_guard lock(m_mutex);
        return m_bodies.size();
    }

    std::size_t poisonRequests() const
    {
        const std::lock_guard lock(m_mutex);
        return static_cast<std::size_t>(std::count(m_bodies.begin(), m_bodies.end(), "poison"));
    }

    /// Waits for a generation to begin and returns the newest one's stream.
    ResponderPtr stream()
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait_for(lock, TestTimeout, [this] {
            return m_stream != nullptr;
        });
        return m_stream;
    }

private:
    void handleRequest(HttpRequest request, ResponderPtr responder)
    {
        std::unique_lock lock(m_mutex);
        m_bodies.push_back(request.body);
        m_paths.push_back(request.path);
        std::vector<ResponderPtr> broken;
        if (request.path == "/generate") {
            responder->beginStream({});
            m_stream = responder;
        } else if (request.body == "poison") {
            broken = std::exchange(m_held, {});
            broken.push_back(responder);
        } else if (m_holding) {
            m_held.push_back(responder);
        } else {
            responder->reply({.body = "{}"});
        }
        m_changed.notify_all();
        lock.unlock();
        for (const ResponderPtr &each : broken) {
            each->beginStream({});
            each->abortStream();
        }
    }

    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_holding = false;
    std::vector<std::string> m_bodies;
    std::vector<std::string> m_paths;
    std::vector<ResponderPtr> m_held;
    ResponderPtr m_stream;
    HttpServer m_server;
};

class DataPathStreams : public DataPathTest
{
protected:
    static HttpRequest generate()
    {
        return within({.method = "POST",
                       .path = "/v1/models/agent/generate",
                       .body = R"({"prompt":"quote","max_tokens":4,"stream":true})"},
                      60s);
    }

    struct OpenStream
    {
        std::shared_ptr<TestCaller> caller; // the caller, which has received "one "
        ResponderPtr stream; // the stream at the endpoint; null if it did not begin
    };

    OpenStream openStream(HeldEndpoint &endpoint)
    {
        OpenStream opened{send(m_path, generate()), endpoint.stream()};
        if (opened.stream) {
            opened.stream->write("one ");
            EXPECT_TRUE(opened.caller->waitForText("one "));
        }
        return opened;
    }

    static HttpRequest poison()
    {
        return {.method = "PUT", .path = "/v1/services/stock/stock/x", .body = "poison"};
    }
};

} // namespace bergamot
