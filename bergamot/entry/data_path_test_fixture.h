#pragma once

// The fixture of the data path's tests: an in-memory fake of the control process, callers that wait for their answers,
// and the options and requests that the tests share.

#include <future>

#include <gtest/gtest.h>

#include "bergamot/config/configuration.h"
#include "bergamot/entry/data_path.h"
#include "bergamot/http/server.h"

namespace bergamot
{

inline constexpr std::chrono::seconds TestTimeout{20}; // a test that waits longer fails

/// The owner's records of idempotency keys, shared by all instances of a test.
class FakeKeys
{
public:
    inner::KeyClaimReplyT claim(const inner::KeyClaimT &claim)
    {
        const std::lock_guard lock(m_mutex);
        ++m_claims;
        m_changed.notify_all();
        inner::KeyClaimReplyT reply;
        const auto [entry, isNew] = m_keys.try_emplace(claim.key, Key{claim.body_digest, claim.claim_id, {}});
        if (isNew) {
            reply.verdict = inner::KeyVerdict::Granted;
        } else if (entry->second.digest != claim.body_digest) {
            reply.verdict = inner::KeyVerdict::Mismatch;
        } else if (entry->second.outcome) {
            reply.verdict = inner::KeyVerdict::Finished;
            reply.status = entry->second.outcome->status;
            reply.body = entry->second.outcome->body;
            reply.content_type = entry->second.outcome->content_type;
        } else {
            reply.verdict = inner::KeyVerdict::InProgress;
        }
        return reply;
    }

    /// Waits until `count` claims have been processed.
    bool waitForClaims(std::size_t count)
    {
        std::unique_lock lock(m_mutex);
        return m_changed.wait_for(lock, TestTimeout, [&] {
            return m_claims >= count;
        });
    }

    void record(const inner::KeyOutcomeT &outcome)
    {
        const std::lock_guard lock(m_mutex);
        const auto entry = m_keys.find(outcome.key);
        if (entry == m_keys.end() || entry->second.claim != outcome.claim_id) {
            return;
        }
        if (outcome.ran) {
            entry->second.outcome = outcome;
        } else {
            m_keys.erase(entry);
        }
    }

private:
    struct Key
    {
        std::string digest;
        std::string claim;
        std::optional<inner::KeyOutcomeT> outcome;
    };

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::size_t m_claims = 0;
    std::map<std::string, Key> m_keys;
};

/// A fake of one instance's control process; the test sets its view.
class FakeControl final : public ControlLink
{
public:
    explicit FakeControl(std::shared_ptr<FakeKeys> keys)
        : m_keys(std::move(keys))
    { }

    void fetchView(const ViewQuery &query, Callback<ViewUpdate> done) override
    {
        const std::unique_lock lock(m_mutex);
        if (m_unavailable) {
            done(failure(ErrorCode::Unavailable, "the control process is unavailable"));
            return;
        }
        m_suspects.insert(m_suspects.end(), query.suspects.begin(), query.suspects.end());
        ++m_fetches;
        m_changed.notify_all();
        done(ViewUpdate{.hash = m_hash, .view = query.knownHash == m_hash ? nullptr : m_view});
    }

    void claimKey(const inner::KeyClaimT &claim,
                  std::chrono::milliseconds /*timeout*/,
                  Callback<inner::KeyClaimReplyT> done) override
    {
        {
            const std::lock_guard lock(m_mutex);
            if (m_unavailable) {
                done(failure(ErrorCode::Unknown, "the control process is unavailable"));
                return;
            }
        }
        done(m_keys->claim(claim));
    }

    void recordKey(const inner::KeyOutcomeT &outcome) override
    {
        m_keys->record(outcome);
    }

    void setView(inner::ViewT view)
    {
        const std::lock_guard lock(m_mutex);
        ++m_hash;
        m_view = std::make_shared<const inner::ViewT>(std::move(view));
    }

    void setUnavailable(bool unavailable)
    {
        const std::lock_guard lock(m_mutex);
        m_unavailable = unavailable;
    }

    /// Waits until the newest view has been applied: it was fetched, and a later request for a view was received.
    bool waitUntilViewApplied()
    {
        std::unique_lock lock(m_mutex);
        const std::uint64_t enough = m_fetches + 2;
        return m_changed.wait_for(lock, TestTimeout, [&] {
            return m_fetches >= enough;
        });
    }

    /// Waits until a suspect with `endpoints` distinct endpoints has been reported.
    bool waitForSuspect(std::size_t endpoints)
    {
        std::unique_lock lock(m_mutex);
        return m_changed.wait_for(lock, TestTimeout, [&] {
            return std::any_of(m_suspects.begin(), m_suspects.end(), [endpoints](const SuspectReport &report) {
                return report.endpoints.size() == endpoints;
            });
        });
    }

    std::vector<SuspectReport> suspects() const
    {
        const std::lock_guard lock(m_mutex);
        return m_suspects;
    }

private:
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::uint64_t m_hash = 0;
    std::shared_ptr<const inner::ViewT> m_view;
    std::shared_ptr<FakeKeys> m_keys;
    std::vector<SuspectReport> m_suspects;
    std::uint64_t m_fetches = 0;
    bool m_unavailable = false;
};

/// The caller's side of one request.
class TestCaller final : public Responder
{
public:
    void reply(HttpResponse response) override
    {
        finish(std::move(response), true);
    }

    void beginStream(HttpResponse head) override
    {
        const std::lock_guard lock(m_mutex);
        m_head = std::move(head);
    }

    bool write(std::string_view chunk) override
    {
        const std::lock_guard lock(m_mutex);
        m_streamed.append(chunk);
        m_changed.notify_all();
        return !m_disconnected;
    }

    void endStream() override
    {
        finish(streamedAnswer(), true);
    }

    void abortStream() override
    {
        finish(streamedAnswer(), false);
    }

    /// Waits for the answer; its status is 0 if none is received within `TestTimeout`.
    HttpResponse answer()
    {
        std::unique_lock lock(m_mutex);
        const bool arrived = m_changed.wait_for(lock, TestTimeout, [this] {
            return m_answer.has_value();
        });
        return arrived ? *m_answer : HttpResponse{.status = 0};
    }

    std::string outcome()
    {
        return headerOr(answer().headers, "Bergamot-Outcome", "none");
    }

    bool waitForText(const std::string &text)
    {
        std::unique_lock lock(m_mutex);
        return m_changed.wait_for(lock, TestTimeout, [&] {
            return m_streamed.find(text) != std::string::npos;
        });
    }

    void disconnect()
    {
        const std::lock_guard lock(m_mutex);
        m_disconnected = true;
    }

    bool isComplete()
    {
        answer();
        const std::lock_guard lock(m_mutex);
        return m_complete;
    }

    int answerCount() const
    {
        const std::lock_guard lock(m_mutex);
        return m_answerCount;
    }

private:
    HttpResponse streamedAnswer()
    {
        const std::lock_guard lock(m_mutex);
        HttpResponse answer = m_head;
        answer.body = m_streamed;
        return answer;
    }

    void finish(HttpResponse response, bool complete)
    {
        const std::lock_guard lock(m_mutex);
        ++m_answerCount;
        m_complete = complete;
        m_answer = std::move(response);
        m_changed.notify_all();
    }

    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::optional<HttpResponse> m_answer;
    HttpResponse m_head;
    std::string m_streamed;
    bool m_disconnected = false;
    bool m_complete = false;
    int m_answerCount = 0;
};

/// A data path in the domain "a" with a fake control process; tests may add another data path.
class DataPathTest : public testing::Test
{
protected:
    struct RegisteredEndpoint
    {
        Address address;
        bool leaving = false;
    };

    static DataPathOptions options(const std::string &instance)
    {
        DataPathOptions options;
        options.instance = InstanceId(instance);
        options.domain = FailureDomainId("a");
        options.router.target.pool.instance = instance;
        options.router.target.pool.domain = FailureDomainId("a");
        options.router.target.pool.limit.initial = 16;
        // On a slow machine a healthy endpoint must not count as stalled.
        options.router.timeouts.leastProgress = std::chrono::seconds(1);
        options.shutdown.balancerGrace = std::chrono::milliseconds(20);
        options.viewPeriod = std::chrono::milliseconds(10);
        options.seed = 3;
        return options;
    }

    /// Publishes a view in which `endpoints` serve both the service "stock" and the model "agent".
    void publishView(const std::vector<RegisteredEndpoint> &endpoints)
    {
        publishViewTo(*m_control, endpoints);
    }

    static void publishViewTo(FakeControl &control, const std::vector<RegisteredEndpoint> &endpoints)
    {
        control.setView(viewOf(endpoints));
        ASSERT_TRUE(control.waitUntilViewApplied());
    }

    static inner::ViewT viewOf(const std::vector<RegisteredEndpoint> &endpoints)
    {
        Configuration configuration;
        configuration.version = 1;
        configuration.domains = {FailureDomainId("a")};
        configuration.services[ServiceId("stock")].service = ServiceId("stock");
        configuration.models[ModelId("agent")].model = ModelId("agent");
        inner::ViewT view;
        view.config_version = configuration.version;
        view.configuration = toJson(configuration).serialize();
        for (const inner::EndpointKind kind : {inner::EndpointKind::Service, inner::EndpointKind::Engine}) {
            for (const RegisteredEndpoint &registered : endpoints) {
                auto endpoint = std::make_unique<inner::EndpointT>();
                endpoint->id = toString(registered.address);
                endpoint->kind = kind;
                endpoint->serves = kind == inner::EndpointKind::Service ? "stock" : "agent";
                endpoint->domain = "a";
                endpoint->address = toString(registered.address);
                endpoint->leaving = registered.leaving;
                endpoint->reachable = true;
                view.endpoints.push_back(std::move(endpoint));
            }
        }
        return view;
    }

    static std::shared_ptr<TestCaller> send(DataPath &path, HttpRequest request)
    {
        auto caller = std::make_shared<TestCaller>();
        path.handle(std::move(request), caller);
        return caller;
    }

    static HttpRequest read(const std::string &item = "fettuccine")
    {
        return {.method = "GET", .path = "/v1/services/stock/stock/" + item};
    }

    static HttpRequest confirm(const std::string &lot = "lot-7", const std::string &key = "")
    {
        HttpRequest request{
            .method = "POST", .path = "/v1/services/stock/confirm", .body = R"({"lot":")" + lot + "\"}"};
        if (!key.empty()) {
            request.headers["Idempotency-Key"] = key;
        }
        return request;
    }

    static HttpRequest within(HttpRequest request, std::chrono::milliseconds deadline)
    {
        request.headers["X-Deadline-Ms"] = std::to_string(deadline.count());
        return request;
    }

    const SystemClock m_clock{};
    Metrics m_metrics;
    std::shared_ptr<FakeKeys> m_keys = std::make_shared<FakeKeys>();
    std::shared_ptr<FakeControl> m_control = std::make_shared<FakeControl>(m_keys);
    DataPath m_path{options("entry-1"), m_clock, m_control, m_metrics};
};

} // namespace bergamot
