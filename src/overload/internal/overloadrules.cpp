#include "overload/overloadrules.h"

#include "serverlimits/permitrules.h"

#include <algorithm>
#include <cmath>

namespace cardamomlift::overload {

namespace {

/// Part of the slots that is used: some requests end after their turn.
constexpr double SlotUse = 0.8;
/// Fraction of the capacity that is left after a refusal, and for a server that has just started.
constexpr double CapacityAfterRefusal = 0.7;
constexpr double CapacityAfterRestart = 0.25;
constexpr double GrowthPerSecond = 0.1;
/// Margin for refusals of requests that were under way together.
constexpr double RefusalMargin = 1.25;
constexpr Duration MaxPause = std::chrono::seconds(10);
constexpr Duration PauseWhenDown = std::chrono::seconds(1);
constexpr Duration MinTurn = std::chrono::milliseconds(250);
constexpr Duration MaxTurn = std::chrono::seconds(32);
/// Requests that one slot runs in a turn, at least.
constexpr int RequestsPerTurn = 8;
/// Numbers for the slots of one turn, more than a server has.
constexpr std::int64_t SlotNumbers = 4096;

} // namespace

ServerCapacity initialCapacity(int slots, TimePoint now)
{
    ServerCapacity capacity;
    capacity.maxSlots = std::max(1.0, SlotUse * slots);
    capacity.slots = capacity.maxSlots;
    capacity.updatedAt = now;
    return capacity;
}

void restart(ServerCapacity &capacity)
{
    capacity.slots = std::max(1.0, capacity.maxSlots * CapacityAfterRestart);
}

void grow(ServerCapacity &capacity, TimePoint now)
{
    const double elapsed = std::clamp(std::chrono::duration<double>(now - capacity.updatedAt).count(), 0.0, 1.0);
    capacity.updatedAt = now;
    capacity.slots = std::min(capacity.maxSlots, capacity.slots * (1 + GrowthPerSecond * elapsed));
}

Duration pauseAfterRefusal(const RefusalBound &bound)
{
    const double pause = RefusalMargin * static_cast<double>(bound.vms) / std::max(0.5, static_cast<double>(bound.perSecond));
    return std::min(MaxPause, std::chrono::duration_cast<Duration>(std::chrono::duration<double>(pause)));
}

void noteRefused(ServerCapacity &capacity, const RefusalBound &bound, TimePoint now)
{
    // Several refusals of one moment are one sign.
    if (now < capacity.pausedUntil) {
        return;
    }
    capacity.slots = std::max(1.0, capacity.slots * CapacityAfterRefusal);
    capacity.pausedUntil = now + pauseAfterRefusal(bound);
}

void noteDown(ServerCapacity &capacity, TimePoint now)
{
    restart(capacity);
    capacity.pausedUntil = std::max(capacity.pausedUntil, now + PauseWhenDown);
}

Duration turnLength(Duration serviceTime)
{
    Duration length = MinTurn;
    while (length < serviceTime * RequestsPerTurn && length < MaxTurn) {
        length *= 2;
    }
    return length;
}

Turn turnAt(Duration storeTime, Duration length)
{
    const std::int64_t number = storeTime / length;
    return {number, length * (number + 1) - storeTime};
}

int ownedSlots(std::span<const std::uint64_t> vms, std::uint64_t ownHash, std::uint64_t server, int slots, std::int64_t number)
{
    int owned = 0;
    for (int slot = 0; slot < slots; slot++) {
        owned += serverlimits::permitOwner(vms, server, number * SlotNumbers + slot) == ownHash ? 1 : 0;
    }
    return owned;
}

bool mayStart(const Turn &turn, Duration serviceTime)
{
    return turn.left >= serviceTime;
}

} // namespace cardamomlift::overload
