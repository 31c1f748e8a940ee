#pragma once

// A call of the HTTP client whose answer is used as a whole.
//
//     startForWholeAnswer(client, request, [](const WholeAnswer &answer) {
//         if (answer.end.failure == CallFailure::None && answer.status == status::Ok) { ... }
//     });

#include <functional>
#include <string>

#include "bergamot/net/http_client.h"

namespace bergamot::net
{

struct WholeAnswer
{
    CallEnd end;
    int status = 0; // 0: no head arrived
    std::string body; // incomplete if the call failed
};

/// Sends `request`; `done` runs once, on the loop of `client`.
void startForWholeAnswer(HttpClient &client, ClientRequest request, std::function<void(WholeAnswer)> done);

} // namespace bergamot::net
