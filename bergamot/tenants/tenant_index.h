#pragma once

// Who a caller is: the tenants of a configuration, the digests of their keys, and the rule by which a call is admitted.
//
//     const TenantIndex index(tenants);
//     const Admission admission = admit(index, false, parseCredentials(headers, "Authorization", "Token"));
//     if (admission.verdict == Verdict::Admitted) { admission.tenant->name; }
//
// Keys are kept as SHA-256 digests only, so they appear in no log, metric, snapshot or error.

#include <array>
#include <cstdint>
#include <cstring>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "bergamot/base/hash.h"
#include "bergamot/net/message.h"

namespace bergamot::tenants
{

using KeyDigest = Sha256Digest;

/// A customer of the deployment, who holds keys.
struct Tenant
{
    std::string name;
    std::optional<std::uint32_t> priority; // replaces that of the route; 0 is the most urgent
    std::vector<KeyDigest> keys;

    bool operator==(const Tenant &) const = default;
};

/// The tenants of one version of the configuration, by key. Immutable and cheap to copy.
class TenantIndex
{
public:
    /// A key that several tenants hold belongs to none of them.
    explicit TenantIndex(std::vector<Tenant> tenants);

    /// Null if no tenant holds the key.
    const Tenant *find(const KeyDigest &key) const;
    const std::vector<Tenant> &tenants() const
    {
        return m_content->tenants;
    }

private:
    struct DigestHash
    {
        std::size_t operator()(const KeyDigest &key) const
        {
            std::size_t hash = 0;
            std::memcpy(&hash, key.data(), sizeof(hash));
            return hash;
        }
    };

    struct Content
    {
        std::vector<Tenant> tenants;
        std::unordered_map<KeyDigest, std::optional<std::size_t>, DigestHash> byKey; // position; nothing: ambiguous
    };

    std::shared_ptr<const Content> m_content;
};

/// What the header of a call says about its caller.
struct Credentials
{
    enum class State {
        Missing,
        Malformed, // another scheme, no key, or several headers
        Key,
    };

    State state = State::Missing;
    KeyDigest key{}; // for `Key`
};

/// Reads "SCHEME KEY" from the header `name`; schemes compare case-insensitively.
Credentials parseCredentials(const net::HeaderFields &headers, std::string_view name, std::string_view scheme);

enum class Verdict {
    Admitted,
    Refused, // whatever a newer configuration says
    UnknownKey, // a newer configuration may hold the key
};

struct Admission
{
    Verdict verdict = Verdict::Refused;
    const Tenant *tenant = nullptr; // points into the index; null: the call belongs to no tenant
    std::string_view reason; // of a refusal
};

/// Decides on a call. A public call needs no key, but belongs to the tenant of a known one.
Admission admit(const TenantIndex &index, bool publicCall, const Credentials &credentials);

/// Name of something that `tenant` named `id`. Equal ids of two tenants, or of a tenant and a public caller (an empty
/// name), have different names.
std::string scopedId(std::string_view tenant, std::string_view id);

} // namespace bergamot::tenants
