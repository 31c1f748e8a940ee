#include "bergamot/base/json.h"
#include "bergamot/platform/internal/json_fields.h"
#include "bergamot/platform/platform_json.h"

namespace bergamot
{

using platform_internal::readList;
using web::json::value;

namespace
{

struct KindName
{
    ListedKind kind;
    std::string_view name;
};

constexpr KindName KindNames[] = {
    {ListedKind::Instance, "instance"},
    {ListedKind::Engine, "engine"},
    {ListedKind::Endpoint, "endpoint"},
};

constexpr std::string_view LiveState = "live";
constexpr std::string_view LeavingState = "leaving";

std::optional<ListedKind> kindOf(std::string_view name)
{
    for (const KindName &known : KindNames) {
        if (known.name == name) {
            return known.kind;
        }
    }
    return std::nullopt;
}

std::string nameOf(ListedKind kind)
{
    for (const KindName &known : KindNames) {
        if (known.kind == kind) {
            return std::string(known.name);
        }
    }
    return {};
}

} // namespace

value toJson(const ListedMember &member)
{
    value json = value::object();
    json["kind"] = value(nameOf(member.kind));
    json["id"] = value(member.id);
    json["domain"] = value(member.domain.value());
    json["address"] = value(toString(member.address));
    json["state"] = value(std::string(member.state == ListedState::Live ? LiveState : LeavingState));
    json["serves"] = value(member.serves);
    return json;
}

Result<ListedState> parseListedState(const std::string &name, const std::string &path)
{
    if (name != LiveState && name != LeavingState) {
        return failure(ErrorCode::InvalidArgument, path + " must be live or leaving");
    }
    return name == LiveState ? ListedState::Live : ListedState::Leaving;
}

Result<ListedMember> parseListedMember(const value &json, const std::string &path)
{
    FieldReader reader(json, path);
    ListedMember member;
    member.id = reader.requiredString("id");
    member.domain = FailureDomainId(reader.requiredString("domain"));
    member.serves = reader.optionalString("serves", "");
    const std::optional<ListedKind> kind = kindOf(reader.requiredString("kind"));
    if (!kind) {
        reader.reject("kind", "must be instance, engine or endpoint");
    }
    const Result<Address> address = parseAddress(reader.requiredString("address"));
    if (!address) {
        reader.reject("address", "must be IP:PORT");
    }
    const Result<ListedState> state =
        parseListedState(reader.optionalString("state", std::string(LiveState)), path + ".state");
    if (!state) {
        reader.reject("state", "must be live or leaving");
    }
    if (kind && *kind != ListedKind::Instance && member.serves.empty()) {
        reader.reject("serves", "must name the model or service");
    }
    if (const Result<void> read = reader.finish(); !read) {
        return tl::unexpected(read.error());
    }
    member.kind = *kind;
    member.address = *address;
    member.state = *state;
    return member;
}

value toJson(const std::vector<ListedMember> &members)
{
    std::vector<value> elements;
    elements.reserve(members.size());
    for (const ListedMember &member : members) {
        elements.push_back(toJson(member));
    }
    value json = value::object();
    json["members"] = value::array(std::move(elements));
    return json;
}

Result<std::vector<ListedMember>> parseMembers(const value &json, const std::string &path)
{
    return readList<ListedMember>(json, path, "members", parseListedMember);
}

} // namespace bergamot
