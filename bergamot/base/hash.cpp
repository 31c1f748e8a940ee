#include "bergamot/base/hash.h"

#include <openssl/evp.h>
#include <xxhash.h>

namespace bergamot
{

std::uint64_t stableHash(std::string_view text, std::uint64_t seed)
{
    return XXH64(text.data(), text.size(), seed);
}

std::uint64_t rendezvousWeight(std::string_view key, std::string_view candidate)
{
    return stableHash(candidate, stableHash(key));
}

Sha256Digest sha256(std::string_view text)
{
    Sha256Digest digest{};
    EVP_Digest(text.data(), text.size(), digest.data(), nullptr, EVP_sha256(), nullptr);
    return digest;
}

std::string sha256Hex(std::string_view text)
{
    static constexpr std::string_view Digits = "0123456789abcdef";
    std::string hex;
    hex.reserve(std::tuple_size_v<Sha256Digest> * 2);
    for (const unsigned char byte : sha256(text)) {
        hex += Digits[byte >> 4];
        hex += Digits[byte & 0xf];
    }
    return hex;
}

} // namespace bergamot
