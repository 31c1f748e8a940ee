#include "bergamot/control/forwarded_http.h"

namespace bergamot
{

namespace
{

template<typename Map>
std::vector<std::unique_ptr<inner::HeaderT>> toHeaders(const Map &map)
{
    std::vector<std::unique_ptr<inner::HeaderT>> headers;
    for (const auto &[name, value] : map) {
        auto header = std::make_unique<inner::HeaderT>();
        header->name = name;
        header->value = value;
        headers.push_back(std::move(header));
    }
    return headers;
}

template<typename Map>
Map fromHeaders(const std::vector<std::unique_ptr<inner::HeaderT>> &headers)
{
    Map map;
    for (const auto &header : headers) {
        map[header->name] = header->value;
    }
    return map;
}

class ForwardResponder final : public Responder
{
public:
    explicit ForwardResponder(PeerServer::Reply reply)
        : m_reply(std::move(reply))
    { }

    ~ForwardResponder() override
    {
        ForwardResponder::reply(errorResponse({ErrorCode::Internal, "The request was dropped.", std::nullopt}));
    }

    ForwardResponder(const ForwardResponder &) = delete;
    ForwardResponder &operator=(const ForwardResponder &) = delete;

    void reply(HttpResponse response) override
    {
        if (m_isAnswered.exchange(true)) {
            return;
        }
        inner::BodyUnion body;
        body.Set(toForwardReply(response));
        m_reply(std::move(body));
    }

    void beginStream(HttpResponse head) override
    {
        m_streamed = std::move(head);
        m_streamed.body.clear();
    }

    bool write(std::string_view chunk) override
    {
        m_streamed.body += chunk;
        return true;
    }

    void endStream() override
    {
        reply(std::move(m_streamed));
    }

    void abortStream() override
    {
        reply(errorResponse({ErrorCode::Unknown, "The answer broke off.", std::nullopt}));
    }

private:
    PeerServer::Reply m_reply;
    std::atomic<bool> m_isAnswered{false};
    HttpResponse m_streamed;
};

} // namespace

inner::ForwardRequestT toForwardRequest(const HttpRequest &request, std::uint32_t hops)
{
    inner::ForwardRequestT frame;
    frame.method = request.method;
    frame.path = request.path;
    frame.query = toHeaders(request.query);
    frame.headers = toHeaders(request.headers);
    frame.body = request.body;
    frame.hops = hops;
    return frame;
}

HttpRequest fromForwardRequest(const inner::ForwardRequestT &frame)
{
    HttpRequest request;
    request.method = frame.method;
    request.path = frame.path;
    request.query = fromHeaders<std::map<std::string, std::string>>(frame.query);
    request.headers = fromHeaders<HttpHeaders>(frame.headers);
    request.body = frame.body;
    return request;
}

inner::ForwardReplyT toForwardReply(const HttpResponse &response)
{
    inner::ForwardReplyT frame;
    frame.status = response.status;
    frame.headers = toHeaders(response.headers);
    frame.content_type = response.contentType;
    frame.body = response.body;
    return frame;
}

HttpResponse fromForwardReply(const inner::ForwardReplyT &frame)
{
    HttpResponse response;
    response.status = frame.status;
    response.headers = fromHeaders<HttpHeaders>(frame.headers);
    response.contentType = frame.content_type;
    response.body = frame.body;
    return response;
}

ResponderPtr makeForwardResponder(PeerServer::Reply reply)
{
    return std::make_shared<ForwardResponder>(std::move(reply));
}

} // namespace bergamot
