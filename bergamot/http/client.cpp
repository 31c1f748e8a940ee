#include "bergamot/http/client.h"

#include <algorithm>
#include <cctype>

#include <cpprest/http_client.h>

#include "bergamot/base/event_loop.h"
#include "bergamot/http/internal/body.h"

namespace bergamot
{

namespace
{

using NativeClient = web::http::client::http_client;

// The library's own timeout restarts with each byte; ours bounds the whole call and is the one that counts.
constexpr std::chrono::hours LibraryTimeout{1};
constexpr std::string_view NeverConnected = "Failed to connect";

std::shared_ptr<NativeClient> makeClient(const Address &address)
{
    web::http::client::http_client_config config;
    config.set_timeout(LibraryTimeout);
    return std::make_shared<NativeClient>("http://" + toString(address), config);
}

web::http::http_request toNative(HttpRequest request)
{
    web::http::http_request native(request.method);
    web::uri_builder uri(web::uri::encode_uri(request.path));
    for (const auto &[name, value] : request.query) {
        uri.append_query(name, value);
    }
    native.set_request_uri(uri.to_uri());
    std::string contentType = headerOr(request.headers, "Content-Type", "application/json");
    if (!request.body.empty()) {
        native.set_body(std::move(request.body), contentType);
    }
    for (const auto &[name, value] : request.headers) {
        native.headers()[name] = value;
    }
    return native;
}

HttpResponse headOf(const web::http::http_response &native)
{
    HttpResponse head;
    head.status = native.status_code();
    for (const auto &[name, value] : native.headers()) {
        head.headers[name] = value;
    }
    head.contentType = headerOr(head.headers, "Content-Type", "application/octet-stream");
    return head;
}

bool isTokenCharacter(unsigned char character)
{
    constexpr std::string_view Others = "!#$%&'*+-.^_`|~";
    return std::isalnum(character) != 0 || Others.find(static_cast<char>(character)) != std::string_view::npos;
}

bool isTextCharacter(unsigned char character)
{
    return character == '\t' || std::iscntrl(character) == 0;
}

/// What is wrong with the head of an answer, which the library reads leniently; empty if nothing is.
std::string_view headProblem(const HttpResponse &head)
{
    constexpr int FirstFinalStatus = 200;
    constexpr int LastStatus = 599;
    if (head.status < FirstFinalStatus || head.status > LastStatus) {
        return "the answer has no valid status";
    }
    for (const auto &[name, value] : head.headers) {
        if (name.empty() || !std::all_of(name.begin(), name.end(), isTokenCharacter)
            || !std::all_of(value.begin(), value.end(), isTextCharacter)) {
            return "the answer has a malformed header field";
        }
    }
    return {};
}

CallFailure failureOf(const std::exception &error)
{
    const std::string message = error.what();
    const bool neverConnected = message.find(NeverConnected) != std::string::npos;
    return {neverConnected ? Delivery::NotSent : Delivery::MaybeRan, false, message};
}

/// One call: its callback runs once, whoever comes first of the answer, the timeout and a cancellation.
class NativeCall final : public PendingCall, public std::enable_shared_from_this<NativeCall>
{
public:
    NativeCall(std::shared_ptr<NativeClient> client,
               std::size_t maxResponseBytes,
               HttpClient::Done done,
               HttpClient::StreamSink sink)
        : m_client(std::move(client))
        , m_maxResponseBytes(maxResponseBytes)
        , m_done(std::move(done))
        , m_sink(std::move(sink))
    { }

    void start(HttpRequest request)
    {
        const auto self = shared_from_this();
        m_client->request(toNative(std::move(request)), m_cancellation.get_token())
            .then([self](web::http::http_response native) {
                return self->receive(native);
            })
            .then([self](const pplx::task<void> &received) {
                try {
                    received.get();
                } catch (const std::exception &error) {
                    self->finish(tl::unexpected(failureOf(error)));
                }
            });
    }

    void cancel() override
    {
        end({Delivery::MaybeRan, false, "cancelled"});
    }

    void expire()
    {
        end({Delivery::MaybeRan, true, "no whole answer within the time limit"});
    }

    /// Ends the call if nothing has arrived since the last check.
    bool expireIfSilent()
    {
        if (m_finished) {
            return false;
        }
        if (!m_progress.exchange(false)) {
            expire();
            return false;
        }
        return true;
    }

private:
    pplx::task<void> receive(const web::http::http_response &native)
    {
        HttpResponse head = headOf(native);
        m_progress = true;
        if (const std::string_view problem = headProblem(head); !problem.empty()) {
            end({Delivery::MaybeRan, false, std::string(problem)});
            return pplx::task_from_result();
        }
        if (m_sink.chunk) {
            m_sink.head(head);
            return relay(native.body(), std::move(head));
        }
        return http_internal::readBody(native.body(), m_maxResponseBytes)
            .then([self = shared_from_this(), head = std::move(head)](std::optional<std::string> body) mutable {
                if (!body) {
                    // The library would go on reading into its own buffer.
                    self->end({Delivery::MaybeRan, false, "the answer is too large"});
                    return;
                }
                head.body = std::move(*body);
                self->finish(std::move(head));
            });
    }

    pplx::task<void> relay(concurrency::streams::istream body, HttpResponse head)
    {
        const auto self = shared_from_this();
        return http_internal::readChunk(body).then([self, body, head](const std::string &chunk) {
            self->m_progress = true;
            if (chunk.empty()) {
                self->finish(head);
                return pplx::task_from_result();
            }
            if (self->m_finished || !self->m_sink.chunk(chunk)) {
                self->cancel();
                return pplx::task_from_result();
            }
            return self->relay(body, head);
        });
    }

    void end(CallFailure failure)
    {
        if (finish(tl::unexpected(std::move(failure)))) {
            m_cancellation.cancel();
        }
    }

    bool finish(CallOutcome outcome)
    {
        if (m_finished.exchange(true)) {
            return false;
        }
        m_done(std::move(outcome));
        return true;
    }

    std::shared_ptr<NativeClient> m_client;
    std::size_t m_maxResponseBytes;
    HttpClient::Done m_done;
    HttpClient::StreamSink m_sink;
    pplx::cancellation_token_source m_cancellation;
    std::atomic<bool> m_finished{false};
    std::atomic<bool> m_progress{false};
};

void watchProgress(EventLoop &timers, const std::weak_ptr<NativeCall> &weak, std::chrono::milliseconds gap)
{
    timers.postAfter(gap, [&timers, weak, gap] {
        const auto call = weak.lock();
        if (call && call->expireIfSilent()) {
            watchProgress(timers, weak, gap);
        }
    });
}

} // namespace

struct HttpClient::Impl
{
    std::shared_ptr<NativeClient> clientFor(const Address &address, bool repeatable)
    {
        if (!repeatable) {
            return makeClient(address);
        }
        const std::lock_guard lock(mutex);
        std::shared_ptr<NativeClient> &client = clients[address];
        if (!client) {
            client = makeClient(address);
        }
        return client;
    }

    std::mutex mutex;
    std::map<Address, std::shared_ptr<NativeClient>> clients;
    EventLoop timers;
};

HttpClient::HttpClient()
    : m_impl(std::make_shared<Impl>())
{ }

HttpClient::~HttpClient() = default;

std::shared_ptr<PendingCall> HttpClient::call(const Address &to, HttpRequest request, CallOptions options, Done done)
{
    auto call = std::make_shared<NativeCall>(
        m_impl->clientFor(to, options.repeatable), options.maxResponseBytes, std::move(done), StreamSink{});
    m_impl->timers.postAfter(options.timeout, [weak = std::weak_ptr(call)] {
        if (const auto pending = weak.lock()) {
            pending->expire();
        }
    });
    call->start(std::move(request));
    return call;
}

std::shared_ptr<PendingCall>
HttpClient::callStreaming(const Address &to, HttpRequest request, CallOptions options, StreamSink sink, Done done)
{
    auto call = std::make_shared<NativeCall>(
        m_impl->clientFor(to, options.repeatable), options.maxResponseBytes, std::move(done), std::move(sink));
    watchProgress(m_impl->timers, call, options.timeout);
    call->start(std::move(request));
    return call;
}

void HttpClient::dropConnections(const Address &to)
{
    const std::lock_guard lock(m_impl->mutex);
    m_impl->clients.erase(to);
}

} // namespace bergamot
