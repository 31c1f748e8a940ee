#pragma once

// HTTP requests and answers as frames, for a request that another instance has to deal with.
//
//     inner::ForwardRequestT frame = toForwardRequest(request, 1);
//     HttpRequest again = fromForwardRequest(frame);

#include "bergamot/http/message.h"
#include "bergamot/protocol/frame.h"
#include "bergamot/protocol/peer_server.h"

namespace bergamot
{

inner::ForwardRequestT toForwardRequest(const HttpRequest &request, std::uint32_t hops);
HttpRequest fromForwardRequest(const inner::ForwardRequestT &frame);
inner::ForwardReplyT toForwardReply(const HttpResponse &response);
HttpResponse fromForwardReply(const inner::ForwardReplyT &frame);

/// A responder that answers with a `ForwardReply`. A stream is collected and sent as one answer.
ResponderPtr makeForwardResponder(PeerServer::Reply reply);

} // namespace bergamot
