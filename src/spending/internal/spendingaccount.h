#pragma once

#include "spending/spendinglimiter.h"

#include <algorithm>
#include <list>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cardamomlift::spending {

inline constexpr Duration TableBackoff = std::chrono::milliseconds(500);

/// A change of the allotment that is being written to the table.
struct SpendingLimiter::AllotmentWrite {
    Micros amount = 0; ///< Positive: taken. Negative: returned, and no longer held.
    AllotmentItem after;
    bool inDoubt = false; ///< An earlier try of this write may have taken effect, or may still do so.
};

struct SpendingLimiter::Account {
    struct Waiting {
        Micros micros = 0;
        ReserveHandler handler;
        TimerId timer = 0;
    };
    AccountKey key;
    Micros bound = 0;
    std::uint64_t boundVersion = 0;
    Micros held = 0;
    Micros reserved = 0;
    Micros spent = 0;
    AllotmentItem item;
    bool isKnown = false; ///< item was read or written by this VM; it may be out of date.
    bool isFresh = false; ///< A read of item has ended since the latest request started to wait.
    bool isReading = false;
    std::optional<AllotmentWrite> pendingWrite;
    std::list<Waiting> waiting;
    bool mustPublishBound = false; ///< The bound was lowered, and this VM has not written the new one to the table yet.
    bool shouldReturn = false; ///< What is held is to be returned: idle, draining, or requested by a peer.
    std::vector<peers::Reply> releaseReplies;
    std::set<std::string> askedHolders;
    std::size_t pendingAsks = 0;
    TimePoint askPeriodStart;
    TimePoint tableDownUntil;
    TimePoint exhaustedUntil;
    Micros exhaustedFrom = 0; ///< Until exhaustedUntil, requests of this size and more are refused at once.
    TimePoint nextTakeAhead;
    TimePoint lastUse;
    Micros spentInPeriod = 0;
    Micros perSecond = 0;

    // The newer of the bound of this VM's contract and the bound in the item from the table.
    Micros currentBound() const
    {
        return item.boundVersion > boundVersion ? item.bound : bound;
    }
    // After the bound was lowered, what is held may exceed it. Once the table has the new bound, no VM can take more than
    // that, so an allotment within the bound then proves that what is held may be spent.
    bool mayUseHeld() const
    {
        return !mustPublishBound && item.allotted <= currentBound();
    }
    ChunkInputs chunkInputs(Micros need) const
    {
        return {currentBound(), item.allotted, need, perSecond, static_cast<std::int64_t>(item.holders.size())};
    }
    Micros smallestNeed() const
    {
        const auto least = std::min_element(waiting.begin(), waiting.end(), [](const auto &a, const auto &b) { return a.micros < b.micros; });
        return least == waiting.end() ? 0 : std::max<Micros>(0, least->micros - held);
    }
    Micros totalNeed() const
    {
        Micros sum = -held;
        for (const Waiting &entry : waiting) {
            sum += entry.micros;
        }
        return std::max<Micros>(0, sum);
    }
};

} // namespace cardamomlift::spending
