#pragma once

#include "limits/grantrules.h"
#include "limits/limitkeeper.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <string>

namespace cardamomlift::limits {

inline constexpr Duration RefuseFor = std::chrono::milliseconds(25); ///< Doubled with each ask that brings too little.
inline constexpr double IdleBelow = 0.1; ///< Requests a second.
inline constexpr Duration AskTimeout = std::chrono::milliseconds(250);
inline constexpr Duration ReturnSlotAfter = std::chrono::milliseconds(20);
inline constexpr char ProbeTopic[] = "limits.probe";

inline std::int64_t ceilOf(double value)
{
    return static_cast<std::int64_t>(std::ceil(value));
}

/// What this VM holds of one customer's limits.
struct LimitKeeper::Share {
    struct Waiting {
        std::int64_t tokens = 0;
        TakeHandler handler;
        TimePoint since;
        bool wasAsked = false;
    };
    std::string customer;
    contract::Limits limits;
    std::int64_t requests = 0; ///< Granted and not used.
    std::int64_t tokens = 0;
    std::int64_t openHeld = 0;
    std::int64_t openUsed = 0;
    bool openTight = true;
    std::deque<Waiting> waiting;
    bool asking = false;
    bool isAskDue = false; ///< An askSoon() is under way.
    TimePoint grantedAt;
    TimePoint noGrantorUntil;
    bool usesOwnShare = false;
    Bucket ownRequests;
    Bucket ownTokens;
    TimePoint refusedUntil;
    Duration refuseFor = RefuseFor;
    TakeResult refusedWith;
    Duration requestsWait{0};
    Duration tokensWait{0};
    std::int64_t takenRequests = 0; ///< Since the last tick.
    std::int64_t takenTokens = 0;
    double requestsPerSecond = 0;
    double tokensPerSecond = 0;

    std::int64_t tokensOfWaiting() const
    {
        std::int64_t sum = 0;
        for (const Waiting &entry : waiting) {
            sum += entry.tokens;
        }
        return sum;
    }
    std::int64_t requestsAhead() const
    {
        return requestsPerSecond < IdleBelow ? 0 : ceilOf(requestsPerSecond);
    }
    std::int64_t tokensAhead() const
    {
        // NOTE Reservations run ahead of real use, so the limit itself bounds what is held.
        return requestsPerSecond < IdleBelow ? 0 : ceilOf(std::min(tokensPerSecond, tokenRate(limits).perSecond));
    }
    bool isEmpty() const
    {
        return openUsed == 0 && openHeld == 0 && requests == 0 && tokens == 0 && waiting.empty() && !asking && !isAskDue;
    }
};

} // namespace cardamomlift::limits
