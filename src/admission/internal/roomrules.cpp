#include "admission/roomrules.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace cardamomlift::admission {

namespace {

constexpr double StartLimit = 256;
constexpr double LeastLimit = 4;
constexpr double MostLimit = 4096;
constexpr double CutFactor = 0.85;
constexpr double InUseShare = 0.8;
constexpr std::int64_t NearPercent = 60; ///< Of the target: what waits for room and the slowest of 20 need the rest.
constexpr std::int64_t WellWithinPercent = 40;
constexpr Duration KeepTightest = std::chrono::minutes(1);
constexpr double DeferrableShare = 0.9;
constexpr double GuaranteedShare = 0.75; ///< For what is not deferrable.
constexpr double MostReserved = 0.9;
constexpr double PeakTimeConstant = 60; ///< Seconds; about as long as deferrable work runs.
constexpr double RateTimeConstant = 2; ///< Seconds.
constexpr double MeanWeight = 0.1;
constexpr double LongestGap = 10; ///< Seconds; an idle time says nothing of the rate under load.

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

double deferrableLimit(const Room &room)
{
    const double reserved = std::min(room.othersPeak, room.limit * MostReserved);
    return std::max(1.0, (room.limit - reserved) * DeferrableShare);
}

void adapt(Room &room, Duration latency, Duration target, TimePoint admittedAt, TimePoint now)
{
    if (target.count() <= 0) {
        return;
    }
    if (latency * 100 > target * NearPercent) {
        // What was let in before the last cut tells nothing of the room after it.
        if (admittedAt >= room.lastCut && now - room.lastCut >= room.tightest.firstToken) {
            // From what was really in flight: a limit far above it would take many cuts to matter.
            room.limit = std::max(LeastLimit, std::min(room.limit, static_cast<double>(room.inFlight)) * CutFactor);
            room.lastCut = now;
        }
        return;
    }
    const bool isInUse =
        static_cast<double>(room.inFlight) >= room.limit * InUseShare || static_cast<double>(room.deferrableInFlight) >= deferrableLimit(room) * InUseShare;
    if (isInUse && latency * 100 <= target * WellWithinPercent) {
        room.limit = std::min(MostLimit, room.limit + 1 / room.limit);
    }
}

} // namespace

Room startRoom(TimePoint now)
{
    Room room;
    room.limit = StartLimit;
    room.lastEnd = now;
    room.lastCut = now;
    return room;
}

void noteTargets(Room &room, const LatencyTargets &targets, TimePoint now)
{
    const bool isOld = now - room.tightestAt >= KeepTightest;
    const bool isTighter = targets.firstToken <= room.tightest.firstToken;
    if (isOld || isTighter || room.tightest.firstToken.count() == 0) {
        room.tightest = targets;
        room.tightestAt = now;
    }
}

void noteFirstToken(Room &room, TimePoint admittedAt, TimePoint now)
{
    adapt(room, now - admittedAt, room.tightest.firstToken, admittedAt, now);
}

void notePace(Room &room, Duration betweenTokens, TimePoint admittedAt, TimePoint now)
{
    adapt(room, betweenTokens, room.tightest.betweenTokens, admittedAt, now);
}

void noteEnd(Room &room, Duration ran, TimePoint now)
{
    room.meanSeconds = room.meanSeconds <= 0 ? seconds(ran) : room.meanSeconds + MeanWeight * (seconds(ran) - room.meanSeconds);
    const double gap = std::clamp(seconds(now - room.lastEnd), 0.0, LongestGap);
    room.lastEnd = now;
    // An exponential average over time, of impulses of one each.
    room.endsPerSecond = room.endsPerSecond * std::max(0.0, 1 - gap / RateTimeConstant) + 1 / RateTimeConstant;
}

void noteDemand(Room &room, std::size_t waiting, TimePoint now)
{
    const double others = static_cast<double>(room.inFlight - room.deferrableInFlight) + static_cast<double>(waiting) + 1;
    const double age = seconds(now - room.othersPeakAt);
    room.othersPeak = std::max(others, room.othersPeak * std::exp(-age / PeakTimeConstant));
    room.othersPeakAt = now;
}

bool hasRoom(const Room &room, bool isDeferrable)
{
    const bool fits = static_cast<double>(room.inFlight) + 1 <= room.limit;
    if (!isDeferrable) {
        // After a cut, deferrable work that runs on must not keep the rest out.
        const auto others = static_cast<double>(room.inFlight - room.deferrableInFlight);
        return fits || others + 1 <= room.limit * GuaranteedShare;
    }
    return fits && static_cast<double>(room.deferrableInFlight) + 1 <= deferrableLimit(room);
}

Duration expectedWait(const Room &room, std::size_t ahead)
{
    if (room.endsPerSecond <= 0) {
        return Duration(0);
    }
    const double before = static_cast<double>(ahead) + 1;
    const double wait = std::min(before / room.endsPerSecond, before * room.meanSeconds / room.limit);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(wait));
}

} // namespace cardamomlift::admission
