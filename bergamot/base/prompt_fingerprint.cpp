#include "bergamot/base/prompt_fingerprint.h"

#include "bergamot/base/hash.h"

namespace bergamot
{

std::uint64_t promptFingerprint(std::string_view model, std::string_view prompt)
{
    return stableHash(prompt, stableHash(model));
}

} // namespace bergamot
