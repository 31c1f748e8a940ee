#pragma once

// The JSON of the platform's HTTP interfaces, both ways: the clients read what the stand-ins write, and the other way
// round. Parse functions name the bad field and the remedy; nothing that comes from outside is taken on trust.
//
//     Result<EngineState> state = parseEngineState(json, "state");
//     std::string body = toJson(*state).serialize();

#include <string>
#include <vector>

#include <cpprest/json.h>

#include "bergamot/platform/engine.h"
#include "bergamot/platform/instance_list.h"
#include "bergamot/platform/log.h"
#include "bergamot/platform/service.h"
#include "bergamot/platform/weight_store.h"

namespace bergamot
{

/// Body of an append: {"records": [{writer, incarnation, sequence, kind, payload}]}.
web::json::value toJson(const std::vector<Record> &batch);
Result<std::vector<Record>> parseAppend(const web::json::value &json, const std::string &path);

/// Answer to an append: {"offset"}; offsets start at 1.
web::json::value offsetToJson(Offset offset);
Result<Offset> parseOffset(const web::json::value &json, const std::string &path);

/// Answer to a read: {"records": [{offset, ...}], "first_retained", "end"}. Offsets must rise without gaps and lie
/// within these bounds.
web::json::value toJson(const LogPage &page);
Result<LogPage> parseLogPage(const web::json::value &json, const std::string &path);

/// {kind, id, domain, address, state, serves}; `serves` may be missing for instances, `state` for live ones.
web::json::value toJson(const ListedMember &member);
Result<ListedMember> parseListedMember(const web::json::value &json, const std::string &path);
/// "live" or "leaving".
Result<ListedState> parseListedState(const std::string &name, const std::string &path);

/// {"members": [...]}.
web::json::value toJson(const std::vector<ListedMember> &members);
Result<std::vector<ListedMember>> parseMembers(const web::json::value &json, const std::string &path);

/// {"newest", "concurrent_fetches"}.
web::json::value toJson(const PublishedWeights &published);
Result<PublishedWeights> parsePublishedWeights(const web::json::value &json, const std::string &path);

/// {request_id, model, prompt, max_tokens, priority, resume_from}.
web::json::value toJson(const GenerateRequest &request);
Result<GenerateRequest> parseGenerateRequest(const web::json::value &json, const std::string &path);

/// [{version, tokens}].
web::json::value toJson(const std::vector<TokenSpan> &spans);

/// {text, spans, finish}. Each span has a version and at least one token; neighbours differ in version.
web::json::value toJson(const Generation &generation);
Result<Generation> parseGeneration(const web::json::value &json, const std::string &path);

/// {fencing, model, version, role}; the role is "serving" or "idle".
web::json::value toJson(const EngineOrder &order);
Result<EngineOrder> parseEngineOrder(const web::json::value &json, const std::string &path);

/// {model, version, loading, running, waiting, slots, load_age_ms, leaving, crashes}.
web::json::value toJson(const EngineState &state);
Result<EngineState> parseEngineState(const web::json::value &json, const std::string &path);

/// {running, waiting, slots, load_age_ms, leaving}: a service's answer to GET /healthz. Each field may be missing and
/// others may be there; without `slots` the service reports no load.
web::json::value toJson(const ServiceState &state);
Result<ServiceState> parseServiceState(const web::json::value &json, const std::string &path);

/// Answer to an export: {"handle"}.
Result<std::string> parseHandle(const web::json::value &json, const std::string &path);

/// Answer of a scoring service: {"score"}, a finite number.
Result<double> parseScore(const web::json::value &json, const std::string &path);

} // namespace bergamot
