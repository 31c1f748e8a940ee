#include "bergamot/base/json.h"
#include "bergamot/platform/internal/json_fields.h"
#include "bergamot/platform/platform_json.h"

namespace bergamot
{

using platform_internal::unsigned32;
using web::json::value;

value toJson(const ServiceState &state)
{
    value json = value::object();
    json["running"] = value(state.running);
    json["waiting"] = value(state.waiting);
    json["slots"] = value(state.slots);
    json["load_age_ms"] = value(static_cast<std::uint64_t>(state.loadAge.count()));
    json["leaving"] = value(state.leaving);
    return json;
}

Result<ServiceState> parseServiceState(const value &json, const std::string &path)
{
    FieldReader reader(json, path);
    ServiceState state;
    state.running = unsigned32(reader, "running", 0);
    state.waiting = unsigned32(reader, "waiting", 0);
    state.slots = unsigned32(reader, "slots", 0);
    state.loadAge = std::chrono::milliseconds(unsigned32(reader, "load_age_ms", 0));
    state.leaving = reader.optionalBool("leaving", false);
    if (const Result<void> read = reader.finish(); !read) {
        return tl::unexpected(read.error());
    }
    return state;
}

} // namespace bergamot
