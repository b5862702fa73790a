#pragma once

#include "limits/customerlimiter.h"
#include "limits/grantrules.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <string>

namespace cardamomlift::limits {

/// After a grant that does not cover all waiting requests, others are refused for this time without asking the grantor. Doubled
/// each time until a grant covers them all.
inline constexpr Duration InitialRefusalBackoff = std::chrono::milliseconds(25);
inline constexpr double IdleRequestsPerSecond = 0.1; ///< A customer with a lower rate is idle: nothing is prefetched for it.
inline constexpr Duration CallTimeout = std::chrono::milliseconds(250);
inline constexpr Duration SlotReturnDelay = std::chrono::milliseconds(20);
inline constexpr char ProbeTopic[] = "limits.probe";

inline std::int64_t roundUp(double value)
{
    return static_cast<std::int64_t>(std::ceil(value));
}

/// The quota of one customer that this VM holds.
struct CustomerLimiter::Share {
    struct WaitingRequest {
        std::int64_t tokens = 0;
        AcquireHandler handler;
        TimePoint queuedAt;
        bool isCovered = false; ///< The pending grant request includes it.
    };
    std::string customer;
    contract::Limits limits;
    std::int64_t requests = 0; ///< Granted and unused; tokens likewise.
    std::int64_t tokens = 0;
    std::int64_t slotsHeld = 0;
    std::int64_t slotsUsed = 0;
    bool slotsScarce = true; ///< Few slots are free at the grantor: unused ones are returned at once.
    std::deque<WaitingRequest> waiting;
    bool isGrantRequestPending = false;
    bool isGrantRequestScheduled = false; ///< By scheduleGrantRequest().
    TimePoint lastGrantAt;
    TimePoint useOwnShareUntil;
    bool usesOwnShare = false;
    Bucket ownRequestBucket;
    Bucket ownTokenBucket;
    TimePoint refusedUntil;
    Duration refusalBackoff = InitialRefusalBackoff;
    AcquireResult lastRefusal;
    Duration requestsWait{0};
    Duration tokensWait{0};
    std::int64_t acquiredRequests = 0; ///< Since the last tick; acquiredTokens likewise.
    std::int64_t acquiredTokens = 0;
    double requestsPerSecond = 0;
    double tokensPerSecond = 0;

    std::int64_t waitingTokens() const
    {
        std::int64_t sum = 0;
        for (const WaitingRequest &entry : waiting) {
            sum += entry.tokens;
        }
        return sum;
    }
    std::int64_t requestsToPrefetch() const
    {
        return requestsPerSecond < IdleRequestsPerSecond ? 0 : roundUp(requestsPerSecond);
    }
    std::int64_t tokensToPrefetch() const
    {
        // NOTE Requests reserve more tokens than they use, so tokensPerSecond may exceed the limit; the limit bounds what is held.
        return requestsPerSecond < IdleRequestsPerSecond ? 0 : roundUp(std::min(tokensPerSecond, tokenRate(limits).perSecond));
    }
    bool isEmpty() const
    {
        return slotsUsed == 0 && slotsHeld == 0 && requests == 0 && tokens == 0 && waiting.empty() && !isGrantRequestPending && !isGrantRequestScheduled;
    }
};

} // namespace cardamomlift::limits
