#pragma once

#include "kernel/clock.h"

#include <cstdint>
#include <unordered_map>
#include <utility>
#include <vector>

namespace cardamomlift::suspects {

/// What is refused because it crashes servers, by the hash that identifies it, and until when. Bounded: the block that ends first is evicted.
class BlockList
{
public:
    /// @p remembersEnded: a block that has ended makes the next one longer.
    explicit BlockList(bool remembersEnded);
    /// Blocks @p id until @p until. Returns false if it is already blocked.
    bool block(std::uint64_t id, TimePoint until);
    bool isBlocked(std::uint64_t id) const;
    /// Whether @p id is blocked, or was until not long ago: then one more crash is enough to block it again.
    bool wasBlocked(std::uint64_t id) const;
    /// When the current or last block of @p id began; the clock's origin if none is known.
    TimePoint blockedSince(std::uint64_t id) const;
    /// FirstBlockLength, and twice as long with each time that @p id crashed a server after the end of a block.
    Duration nextLength(std::uint64_t id) const;
    /// Ends the block of @p id. Returns false if it was not blocked.
    bool lift(std::uint64_t id);
    /// Lifts the memory of an ended block: @p id needs as many crashes as any other again. Returns false if there was none.
    bool forgive(std::uint64_t id);
    /// The blocks, those that last longest first.
    std::vector<std::pair<std::uint64_t, TimePoint>> entries() const;
    /// Ends the blocks that have expired. An ended block is remembered for as long again as it lasted.
    void expire(TimePoint now);
    bool empty() const;

private:
    /// A block, also after its end.
    struct LastBlock {
        TimePoint until;
        Duration length{0};
    };
    bool remembersEnded_;
    std::unordered_map<std::uint64_t, TimePoint> blockedUntil_;
    std::unordered_map<std::uint64_t, LastBlock> lastBlocks_;
};

/// The first block of a request or part.
inline constexpr Duration FirstBlockLength = std::chrono::minutes(10);
/// The longest block.
inline constexpr Duration MaxBlockLength = std::chrono::hours(24);

} // namespace cardamomlift::suspects
