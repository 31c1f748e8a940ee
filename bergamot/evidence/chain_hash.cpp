#include "bergamot/evidence/chain_hash.h"

#include "bergamot/base/hash.h"

namespace bergamot
{

std::string chainStart(std::string_view instance, std::uint64_t incarnation)
{
    return sha256Hex("chain/" + std::string(instance) + "/" + std::to_string(incarnation));
}

std::string chainHash(std::string_view previous, const web::json::value &record)
{
    // cpprestsdk keeps the fields of an object sorted by name, so its text is canonical.
    return sha256Hex(std::string(previous) + record.serialize());
}

} // namespace bergamot
