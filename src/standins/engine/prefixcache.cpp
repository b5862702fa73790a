#include "standins/engine/prefixcache.h"

#include "standins/engine/enginetypes.h"
#include "text/digest.h"

namespace cardamomlift::standins {

PrefixCache::PrefixCache(std::size_t blocks)
    : limit_(blocks)
{
}

std::int64_t PrefixCache::use(std::string_view text, std::uint64_t prefix)
{
    constexpr std::size_t BlockBytes = BlockTokens * BytesPerToken;
    std::int64_t kept = 0;
    bool hit = true;
    std::uint64_t hash = 0;
    for (std::size_t start = 0; start + BlockBytes <= text.size(); start += BlockBytes) {
        // A block is the same only after the same beginning.
        hash = text::stableHash(text.substr(start, BlockBytes), hash);
        hit = touch(hash, prefix) && hit;
        kept += hit ? BlockTokens : 0;
    }
    return kept;
}

void PrefixCache::onRemoved(std::function<void(std::uint64_t prefix)> handler)
{
    removedHandler_ = std::move(handler);
}

bool PrefixCache::touch(std::uint64_t hash, std::uint64_t prefix)
{
    const auto found = blocks_.find(hash);
    if (found != blocks_.end()) {
        order_.splice(order_.begin(), order_, found->second);
        return true;
    }
    if (limit_ == 0) {
        return false;
    }
    order_.push_front({hash, prefix});
    blocks_[hash] = order_.begin();
    if (blocks_.size() > limit_) {
        const Block dropped = order_.back();
        blocks_.erase(dropped.hash);
        order_.pop_back();
        if (removedHandler_) {
            removedHandler_(dropped.prefix);
        }
    }
    return false;
}

} // namespace cardamomlift::standins
