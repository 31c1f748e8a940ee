#include "bergamot/standins/prefix_cache.h"

#include "bergamot/base/hash.h"

namespace bergamot
{

namespace
{

constexpr std::size_t BytesPerToken = 4;
constexpr std::size_t TokensPerBlock = 16;
constexpr std::size_t BytesPerBlock = BytesPerToken * TokensPerBlock;

} // namespace

std::size_t promptTokens(std::string_view prompt)
{
    return (prompt.size() + BytesPerToken - 1) / BytesPerToken;
}

PrefixCache::PrefixCache(std::size_t capacityTokens)
    : m_capacityBlocks(capacityTokens / TokensPerBlock)
{ }

std::size_t PrefixCache::admit(std::string_view prompt)
{
    std::size_t cachedTokens = 0;
    bool prefixCached = true;
    std::uint64_t chain = 0;
    for (std::size_t begin = 0; begin + BytesPerBlock <= prompt.size(); begin += BytesPerBlock) {
        chain = stableHash(prompt.substr(begin, BytesPerBlock), chain);
        prefixCached = prefixCached && m_blocks.contains(chain);
        cachedTokens += prefixCached ? TokensPerBlock : 0;
        touch(chain);
    }
    return promptTokens(prompt) - cachedTokens;
}

void PrefixCache::touch(std::uint64_t block)
{
    const auto found = m_blocks.find(block);
    if (found != m_blocks.end()) {
        m_recent.splice(m_recent.begin(), m_recent, found->second);
        return;
    }
    m_recent.push_front(block);
    m_blocks[block] = m_recent.begin();
    if (m_recent.size() > m_capacityBlocks) {
        m_blocks.erase(m_recent.back());
        m_recent.pop_back();
    }
}

void PrefixCache::clear()
{
    m_recent.clear();
    m_blocks.clear();
}

} // namespace bergamot
