#pragma once

// One call of a platform client: sends JSON, and makes of whatever comes back a Result. For bergamot/platform only.

#include <functional>
#include <string>

#include <cpprest/json.h>

#include "bergamot/http/client.h"

namespace bergamot::platform_internal
{

/// What a call failed with, as an outcome: `Unavailable` is proof that nothing ran.
Error errorOf(const CallFailure &failure);

/// The outcome of an answer with a status other than 200.
Error errorOf(const HttpResponse &response, const std::string &what);

/// The JSON of `outcome`, or what went wrong; `what` names the call in errors.
Result<web::json::value> jsonOf(const CallOutcome &outcome, const std::string &what);

/// A request with a JSON body.
HttpRequest postRequest(std::string path, const web::json::value &body);

/// "POST /order on 127.0.0.1:7100".
std::string describe(const HttpRequest &request, const Address &to);

/// Calls `to` and hands to `done` what `parse(json, path)` makes of the answer. An answer that cannot be read is an
/// `Internal` error that names the field.
template<typename T>
void callJson(HttpClient &client,
              const Address &to,
              HttpRequest request,
              CallOptions options,
              Result<T> (*parse)(const web::json::value &json, const std::string &path),
              Callback<T> done)
{
    const std::string what = describe(request, to);
    client.call(to, std::move(request), options, [what, parse, done = std::move(done)](const CallOutcome &outcome) {
        const Result<web::json::value> json = jsonOf(outcome, what);
        if (!json) {
            done(tl::unexpected(json.error()));
            return;
        }
        Result<T> parsed = parse(*json, "answer");
        if (!parsed) {
            done(failure(ErrorCode::Internal, what + ": " + parsed.error().message));
            return;
        }
        done(std::move(parsed));
    });
}

} // namespace bergamot::platform_internal
