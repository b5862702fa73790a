#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <string_view>
#include <unordered_map>

namespace cardamomlift::standins {

/// The least recently used blocks of prompt prefixes, bounded.
class PrefixCache
{
public:
    static constexpr std::int64_t BlockTokens = 16;

    explicit PrefixCache(std::size_t blocks);
    /// Tokens at the start of @p text that are kept; the whole text is kept afterwards. @p prefix names the blocks in
    /// onRemoved.
    std::int64_t use(std::string_view text, std::uint64_t prefix);
    /// Calls @p handler for each block that is dropped to make room.
    void onRemoved(std::function<void(std::uint64_t prefix)> handler);

private:
    struct Block {
        std::uint64_t hash = 0;
        std::uint64_t prefix = 0;
    };
    bool touch(std::uint64_t hash, std::uint64_t prefix);
    std::size_t limit_;
    std::list<Block> order_; ///< Most recent first.
    std::unordered_map<std::uint64_t, std::list<Block>::iterator> blocks_;
    std::function<void(std::uint64_t)> removedHandler_;
};

} // namespace cardamomlift::standins
