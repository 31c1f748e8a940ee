#pragma once

// Keeps the answer of a handler. For tests only.
//
//     const auto responder = std::make_shared<CapturedResponder>();
//     service.handle(request, responder);
//     EXPECT_EQ(responder->answer->status, 200);

#include <optional>

#include "bergamot/http/message.h"

namespace bergamot
{

/// Not thread-safe. Refuses streams.
class CapturedResponder : public Responder
{
public:
    void reply(HttpResponse response) override
    {
        if (!answer) {
            answer = std::move(response);
        }
    }

    void beginStream(HttpResponse) override
    { }

    bool write(std::string_view) override
    {
        return false;
    }

    void endStream() override
    { }

    void abortStream() override
    { }

    std::optional<HttpResponse> answer; // the first one
};

} // namespace bergamot
