#include "bergamot/base/hash.h"

#include <array>

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

std::string sha256Hex(std::string_view text)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int size = 0;
    EVP_Digest(text.data(), text.size(), digest.data(), &size, EVP_sha256(), nullptr);
    static constexpr std::string_view Digits = "0123456789abcdef";
    std::string hex;
    hex.reserve(std::size_t{size} * 2);
    for (unsigned int i = 0; i < size; ++i) {
        hex += Digits[digest[i] >> 4];
        hex += Digits[digest[i] & 0xf];
    }
    return hex;
}

} // namespace bergamot
