#pragma once

// The prompt-prefix cache of an engine: blocks of tokens, least recently used first out.
//
//     PrefixCache cache(4096);
//     const std::size_t uncached = cache.admit(prompt); // tokens that must be computed

#include <cstddef>
#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>

namespace bergamot
{

/// Tokens of a prompt, at a fixed number of bytes each.
std::size_t promptTokens(std::string_view prompt);

/// Deterministic, single-threaded.
class PrefixCache
{
public:
    explicit PrefixCache(std::size_t capacityTokens);

    /// Takes `prompt` into the cache and returns how many of its tokens were not there. Only whole blocks are kept.
    std::size_t admit(std::string_view prompt);
    void clear();

private:
    void touch(std::uint64_t block);

    std::size_t m_capacityBlocks;
    std::list<std::uint64_t> m_recent; // the most recently used first
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_blocks;
};

} // namespace bergamot
