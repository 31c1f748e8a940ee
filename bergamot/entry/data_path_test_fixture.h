#pragma once

// What the tests of the data path share: a control process in memory, callers that wait for their answers, and
// endpoints over real TCP.

#include <future>

#include <gtest/gtest.h>

#include "bergamot/config/configuration.h"
#include "bergamot/entry/data_path.h"
#include "bergamot/http/server.h"

namespace bergamot
{

inline constexpr std::chrono::seconds TestLimit{20}; // a test that waits longer has failed

/// Keys as their owner keeps them, whichever instance asks.
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

    /// Waits until that many claims have been judged.
    bool waitForClaims(std::size_t count)
    {
        std::unique_lock lock(m_mutex);
        return m_changed.wait_for(lock, TestLimit, [&] {
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

/// The control process of one instance, with views as the test sets them.
class FakeControl final : public ControlLink
{
public:
    explicit FakeControl(std::shared_ptr<FakeKeys> keys)
        : m_keys(std::move(keys))
    { }

    void fetchView(const ViewQuestion &question, Callback<ViewNews> done) override
    {
        const std::unique_lock lock(m_mutex);
        if (m_gone) {
            done(failure(ErrorCode::Unavailable, "gone"));
            return;
        }
        m_suspects.insert(m_suspects.end(), question.suspects.begin(), question.suspects.end());
        ++m_fetches;
        m_changed.notify_all();
        done(ViewNews{.hash = m_hash, .view = question.knownHash == m_hash ? nullptr : m_view});
    }

    void claimKey(const inner::KeyClaimT &claim,
                  std::chrono::milliseconds /*timeout*/,
                  Callback<inner::KeyClaimReplyT> done) override
    {
        {
            const std::lock_guard lock(m_mutex);
            if (m_gone) {
                done(failure(ErrorCode::Unknown, "gone"));
                return;
            }
        }
        done(m_keys->claim(claim));
    }

    void recordKey(const inner::KeyOutcomeT &outcome) override
    {
        m_keys->record(outcome);
    }

    void show(inner::ViewT view)
    {
        const std::lock_guard lock(m_mutex);
        ++m_hash;
        m_view = std::make_shared<const inner::ViewT>(std::move(view));
    }

    void setGone(bool gone)
    {
        const std::lock_guard lock(m_mutex);
        m_gone = gone;
    }

    /// Waits until the newest view has been taken: it was fetched, and a question after that has come.
    bool waitUntilTaken()
    {
        std::unique_lock lock(m_mutex);
        const std::uint64_t enough = m_fetches + 2;
        return m_changed.wait_for(lock, TestLimit, [&] {
            return m_fetches >= enough;
        });
    }

    /// Waits until a suspect with `endpoints` distinct endpoints has been reported.
    bool waitForSuspect(std::size_t endpoints)
    {
        std::unique_lock lock(m_mutex);
        return m_changed.wait_for(lock, TestLimit, [&] {
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
    bool m_gone = false;
};

/// A caller's end of one request.
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
        return !m_gone;
    }

    void endStream() override
    {
        finish(streamedAnswer(), true);
    }

    void abortStream() override
    {
        finish(streamedAnswer(), false);
    }

    /// The answer; its status is 0 if none came within the test's limit.
    HttpResponse answer()
    {
        std::unique_lock lock(m_mutex);
        const bool came = m_changed.wait_for(lock, TestLimit, [this] {
            return m_answer.has_value();
        });
        return came ? *m_answer : HttpResponse{.status = 0};
    }

    std::string outcome()
    {
        return headerOr(answer().headers, "Bergamot-Outcome", "none");
    }

    bool waitForText(const std::string &text)
    {
        std::unique_lock lock(m_mutex);
        return m_changed.wait_for(lock, TestLimit, [&] {
            return m_streamed.find(text) != std::string::npos;
        });
    }

    void leave()
    {
        const std::lock_guard lock(m_mutex);
        m_gone = true;
    }

    bool whole()
    {
        answer();
        const std::lock_guard lock(m_mutex);
        return m_whole;
    }

    int answers() const
    {
        const std::lock_guard lock(m_mutex);
        return m_answers;
    }

private:
    HttpResponse streamedAnswer()
    {
        const std::lock_guard lock(m_mutex);
        HttpResponse answer = m_head;
        answer.body = m_streamed;
        return answer;
    }

    void finish(HttpResponse response, bool whole)
    {
        const std::lock_guard lock(m_mutex);
        ++m_answers;
        m_whole = whole;
        m_answer = std::move(response);
        m_changed.notify_all();
    }

    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::optional<HttpResponse> m_answer;
    HttpResponse m_head;
    std::string m_streamed;
    bool m_gone = false;
    bool m_whole = false;
    int m_answers = 0;
};

/// One or two data paths of a domain over one control.
class DataPathTest : public testing::Test
{
protected:
    struct Listed
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
        options.router.timeouts.leastProgress = std::chrono::seconds(1); // slow machines are not silent endpoints
        options.shutdown.balancerGrace = std::chrono::milliseconds(20);
        options.viewPeriod = std::chrono::milliseconds(10);
        options.seed = 3;
        return options;
    }

    /// Shows `endpoints` as those of the service "stock" and of the model "agent".
    void show(const std::vector<Listed> &endpoints)
    {
        showTo(*m_control, endpoints);
    }

    static void showTo(FakeControl &control, const std::vector<Listed> &endpoints)
    {
        control.show(viewOf(endpoints));
        ASSERT_TRUE(control.waitUntilTaken());
    }

    static inner::ViewT viewOf(const std::vector<Listed> &endpoints)
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
            for (const Listed &listed : endpoints) {
                auto endpoint = std::make_unique<inner::EndpointT>();
                endpoint->id = toString(listed.address);
                endpoint->kind = kind;
                endpoint->serves = kind == inner::EndpointKind::Service ? "stock" : "agent";
                endpoint->domain = "a";
                endpoint->address = toString(listed.address);
                endpoint->leaving = listed.leaving;
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
