#include "bergamot/relay/relay_messages.h"

#include "bergamot/relay/generated/relay_generated.h"

namespace bergamot::relay
{

namespace
{

std::string text(const flatbuffers::String *value)
{
    return value == nullptr ? std::string() : value->str();
}

wire::Kind toWire(fleet::RouteKind kind)
{
    switch (kind) {
    case fleet::RouteKind::Idempotent:
        return wire::Kind::Idempotent;
    case fleet::RouteKind::Streaming:
        return wire::Kind::Streaming;
    case fleet::RouteKind::NonIdempotent:
    case fleet::RouteKind::Batch:
        break;
    }
    return wire::Kind::NonIdempotent;
}

fleet::RouteKind fromWire(wire::Kind kind)
{
    switch (kind) {
    case wire::Kind::Idempotent:
        return fleet::RouteKind::Idempotent;
    case wire::Kind::Streaming:
        return fleet::RouteKind::Streaming;
    case wire::Kind::NonIdempotent:
        break;
    }
    return fleet::RouteKind::NonIdempotent; // unknown kinds too, so that they are never run twice
}

} // namespace

std::string relayMessage(const RelayedRequest &request)
{
    wire::RequestT message;
    message.instance = request.instance;
    message.id = request.id;
    message.method = request.request.method;
    message.target = request.request.target;
    for (const net::HeaderField &field : request.request.headers.all()) {
        auto header = std::make_unique<wire::HeaderFieldT>();
        header->name = field.name;
        header->value = field.value;
        message.headers.push_back(std::move(header));
    }
    const std::string &body = request.body == nullptr ? request.request.body : *request.body;
    message.body.assign(body.begin(), body.end());
    message.service = request.service;
    message.route = request.route.name;
    message.kind = toWire(request.route.kind);
    message.resumable = request.route.resumable;
    message.max_attempts = request.route.maxAttempts;
    message.deadline_ms = static_cast<std::uint32_t>(
        std::max<std::int64_t>(0, std::chrono::duration_cast<std::chrono::milliseconds>(request.deadlineLeft).count()));
    message.software_version = request.softwareVersion;
    message.owed = request.owed;
    message.stream_name = request.streamName;
    message.configuration = request.basis.configuration;
    if (request.basis.callerKey) {
        message.caller_key.assign(request.basis.callerKey->begin(), request.basis.callerKey->end());
    }
    message.batch = request.basis.batch;
    message.owner_epoch = request.basis.ownerEpoch;
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(wire::Request::Pack(builder, &message));
    return {reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize()};
}

Result<RelayedRequest> parseRelayed(const std::string &bytes)
{
    flatbuffers::Verifier verifier(reinterpret_cast<const std::uint8_t *>(bytes.data()), bytes.size());
    if (!wire::VerifyRequestBuffer(verifier)) {
        return failure(ErrorCode::InvalidArgument, "not a relayed request");
    }
    const wire::Request &message = *wire::GetRequest(bytes.data());
    RelayedRequest request{.instance = text(message.instance()),
                           .id = text(message.id()),
                           .request = {.method = text(message.method()), .target = text(message.target())},
                           .service = text(message.service()),
                           .route = {.name = text(message.route()),
                                     .kind = fromWire(message.kind()),
                                     .maxAttempts = message.max_attempts(),
                                     .resumable = message.resumable()},
                           .deadlineLeft = std::chrono::milliseconds(message.deadline_ms()),
                           .softwareVersion = text(message.software_version()),
                           .owed = message.owed(),
                           .streamName = text(message.stream_name()),
                           .basis = {.configuration = message.configuration(),
                                     .batch = text(message.batch()),
                                     .ownerEpoch = message.owner_epoch()}};
    if (request.request.method.empty() || request.request.target.empty() || request.service.empty()
        || request.route.maxAttempts == 0) {
        return failure(ErrorCode::InvalidArgument, "the relayed request lacks method, target, service or attempts");
    }
    if (message.headers() != nullptr) {
        for (const wire::HeaderField *field : *message.headers()) {
            request.request.headers.add(text(field->name()), text(field->value()));
        }
    }
    if (message.caller_key() != nullptr && message.caller_key()->size() != 0) {
        tenants::KeyDigest key{};
        if (message.caller_key()->size() != key.size()) {
            return failure(ErrorCode::InvalidArgument, "the relayed request has a malformed key");
        }
        std::copy(message.caller_key()->begin(), message.caller_key()->end(), key.begin());
        request.basis.callerKey = key;
    }
    if (message.body() != nullptr) {
        request.request.body.assign(message.body()->begin(), message.body()->end());
    }
    return request;
}

} // namespace bergamot::relay
