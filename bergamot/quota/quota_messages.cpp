#include "bergamot/quota/quota_messages.h"

#include <algorithm>

#include "bergamot/quota/generated/quota_generated.h"

namespace bergamot::quota
{

namespace
{

// Bounds of a sound message; larger figures would cost the granting instance time and memory.
constexpr std::uint32_t MaxTokens = 4096; // in one message and for one use or endpoint
constexpr double MaxPerSecond = 1e6;
constexpr std::size_t MaxEndpoints = 4096;

std::string serialize(const wire::MessageT &message)
{
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(wire::Message::Pack(builder, &message));
    return {reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize()};
}

const wire::Message *parse(const std::string &bytes)
{
    flatbuffers::Verifier verifier(reinterpret_cast<const std::uint8_t *>(bytes.data()), bytes.size());
    return wire::VerifyMessageBuffer(verifier) ? wire::GetMessage(bytes.data()) : nullptr;
}

EndpointProcess process(const flatbuffers::String *endpoint, std::uint64_t incarnation)
{
    return {.endpoint = EndpointId(endpoint == nullptr ? std::string() : endpoint->str()), .incarnation = incarnation};
}

std::unique_ptr<wire::ReturnsT> toWire(const ReturnTimes &times)
{
    const auto microseconds = [](Duration duration) {
        return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(duration).count());
    };
    auto returns = std::make_unique<wire::ReturnsT>();
    returns->first_us = microseconds(times.first);
    returns->spacing_us = microseconds(times.spacing);
    return returns;
}

ReturnTimes fromWire(const wire::Returns *returns)
{
    if (returns == nullptr) {
        return {};
    }
    return {.first = std::chrono::microseconds(returns->first_us()),
            .spacing = std::chrono::microseconds(returns->spacing_us())};
}

} // namespace

std::string askMessage(const TokenAsk &ask)
{
    wire::MessageT message;
    message.ask = std::make_unique<wire::AskT>();
    for (const LimitedEndpoint &endpoint : ask.endpoints) {
        auto limited = std::make_unique<wire::LimitedT>();
        limited->endpoint = endpoint.process.endpoint.value();
        limited->incarnation = endpoint.process.incarnation;
        limited->per_second = endpoint.perSecond;
        message.ask->endpoints.push_back(std::move(limited));
    }
    message.ask->callers = ask.wanted[static_cast<std::size_t>(TokenUse::Caller)];
    message.ask->owed = ask.wanted[static_cast<std::size_t>(TokenUse::Owed)];
    return serialize(message);
}

std::string grantMessage(const TokenGrant &grant)
{
    wire::MessageT message;
    message.grant = std::make_unique<wire::GrantT>();
    for (const GrantedTokens &entry : grant.granted) {
        auto granted = std::make_unique<wire::GrantedT>();
        granted->endpoint = entry.process.endpoint.value();
        granted->incarnation = entry.process.incarnation;
        granted->tokens = entry.tokens;
        message.grant->granted.push_back(std::move(granted));
    }
    message.grant->callers = toWire(grant.returns[static_cast<std::size_t>(TokenUse::Caller)]);
    message.grant->owed = toWire(grant.returns[static_cast<std::size_t>(TokenUse::Owed)]);
    return serialize(message);
}

Result<TokenAsk> parseAsk(const std::string &bytes)
{
    const wire::Message *message = parse(bytes);
    if (message == nullptr || message->ask() == nullptr) {
        return failure(ErrorCode::InvalidArgument, "not a request for tokens");
    }
    TokenAsk ask{
        .endpoints = {},
        .wanted = {std::min(message->ask()->callers(), MaxTokens), std::min(message->ask()->owed(), MaxTokens)}};
    if (message->ask()->endpoints() == nullptr) {
        return ask;
    }
    if (message->ask()->endpoints()->size() > MaxEndpoints) {
        return failure(ErrorCode::InvalidArgument, "a request for tokens of too many endpoints");
    }
    for (const wire::Limited *limited : *message->ask()->endpoints()) {
        const double perSecond = limited->per_second();
        if (!(perSecond >= 0 && perSecond <= MaxPerSecond)) {
            return failure(ErrorCode::InvalidArgument, "a limit is not a number of requests");
        }
        ask.endpoints.push_back(
            {.process = process(limited->endpoint(), limited->incarnation()), .perSecond = perSecond});
    }
    return ask;
}

Result<TokenGrant> parseGrant(const std::string &bytes)
{
    const wire::Message *message = parse(bytes);
    if (message == nullptr || message->grant() == nullptr) {
        return failure(ErrorCode::InvalidArgument, "not a grant of tokens");
    }
    TokenGrant grant{.granted = {},
                     .returns = {fromWire(message->grant()->callers()), fromWire(message->grant()->owed())}};
    if (message->grant()->granted() != nullptr) {
        for (const wire::Granted *granted : *message->grant()->granted()) {
            grant.granted.push_back({.process = process(granted->endpoint(), granted->incarnation()),
                                     .tokens = std::min(granted->tokens(), MaxTokens)});
        }
    }
    return grant;
}

} // namespace bergamot::quota
