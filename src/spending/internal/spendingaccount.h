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

/// One change of the allotment that is being written.
struct SpendingLimiter::Step {
    Micros amount = 0; ///< Positive: taken. Negative: given back, and no longer held.
    AllotmentItem after;
    bool inDoubt = false; ///< An earlier write of this step may have taken effect, or still may.
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
    bool isKnown = false; ///< item was read or written by us; it may be out of date.
    bool isFresh = false; ///< item was read for the requests that wait now.
    bool isReading = false;
    std::optional<Step> step;
    std::list<Waiting> waiting;
    bool needsStamp = false; ///< The bound was lowered, and the table does not know it from us yet.
    bool giveBack = false; ///< Idle, draining, or asked by a peer.
    std::vector<peers::Reply> releaseReplies;
    std::set<std::string> asked;
    std::size_t asksOpen = 0;
    TimePoint askedSince;
    TimePoint downUntil;
    TimePoint exhaustedUntil;
    Micros exhaustedFrom = 0; ///< Until then requests of this size and more are refused at once.
    TimePoint aheadAfter;
    TimePoint lastUse;
    Micros spentInPeriod = 0;
    Micros perSecond = 0;

    // The newest bound that is known here or, by the item, anywhere.
    Micros boundNow() const
    {
        return item.boundVersion > boundVersion ? item.bound : bound;
    }
    // After a bound was lowered, what is held may lie above it. Once the table knows the new bound nobody can take above
    // it, so an allotment within the bound is then proof.
    bool mayUseHeld() const
    {
        return !needsStamp && item.allotted <= boundNow();
    }
    ChunkQuestion question(Micros need) const
    {
        return {boundNow(), item.allotted, need, perSecond, static_cast<std::int64_t>(item.holders.size())};
    }
    Micros smallestNeed() const
    {
        const auto least = std::min_element(waiting.begin(), waiting.end(), [](const auto &a, const auto &b) { return a.micros < b.micros; });
        return least == waiting.end() ? 0 : std::max<Micros>(0, least->micros - held);
    }
    Micros wholeNeed() const
    {
        Micros sum = -held;
        for (const Waiting &entry : waiting) {
            sum += entry.micros;
        }
        return std::max<Micros>(0, sum);
    }
};

} // namespace cardamomlift::spending
