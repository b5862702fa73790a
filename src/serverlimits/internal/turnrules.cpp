#include "serverlimits/turnrules.h"

#include <algorithm>
#include <cmath>

namespace cardamomlift::serverlimits {

namespace {

/// Turns that may be used at one time: so many, and those of this many seconds. With fewer, VMs with few callers would let
/// theirs lapse; the rest up to what a server in need bears is for clocks and lists of VMs that differ a little.
constexpr double ReservedRequests = 3;
constexpr double ReservedSeconds = 1;
/// A server that takes less, or nothing, gets one request in ten seconds all the same: only an answer tells that its need is over.
constexpr double LeastPerSecond = 0.1;
constexpr double MicrosecondsPerSecond = 1e6;

/// Spreads @p value evenly (the finalizer of SplitMix64).
std::uint64_t mix(std::uint64_t value)
{
    value ^= value >> 30;
    value *= 0xbf58476d1ce4e5b9;
    value ^= value >> 27;
    value *= 0x94d049bb133111eb;
    return value ^ (value >> 31);
}

Duration fromSeconds(double seconds)
{
    return Duration(static_cast<std::int64_t>(seconds * MicrosecondsPerSecond));
}

double seconds(Duration duration)
{
    return static_cast<double>(duration.count()) / MicrosecondsPerSecond;
}

double rateOf(const TurnBook &book)
{
    return std::max(LeastPerSecond, book.perSecond);
}

/// Of the time between two turns: else the turns of servers with the same limit would all come at once.
double phaseOf(std::uint64_t server)
{
    return static_cast<double>(mix(server) >> 32) / static_cast<double>(UINT32_MAX);
}

std::int64_t turnBefore(const TurnBook &book, Duration storeTime)
{
    return static_cast<std::int64_t>(std::floor(seconds(storeTime) * rateOf(book) - phaseOf(book.server)));
}

Duration timeOfTurn(const TurnBook &book, std::int64_t number)
{
    return fromSeconds((static_cast<double>(number) + phaseOf(book.server)) / rateOf(book));
}

} // namespace

Duration turnLife(double perSecond)
{
    return fromSeconds(ReservedSeconds + ReservedRequests / std::max(LeastPerSecond, perSecond));
}

std::uint64_t turnOwner(std::span<const std::uint64_t> vms, std::uint64_t server, std::int64_t number)
{
    const std::uint64_t turn = mix(server ^ static_cast<std::uint64_t>(number));
    std::uint64_t owner = 0;
    std::uint64_t highest = 0;
    for (const std::uint64_t vm : vms) {
        const std::uint64_t rank = mix(vm ^ turn);
        if (rank >= highest) {
            highest = rank;
            owner = vm;
        }
    }
    return owner;
}

void setRate(TurnBook &book, double perSecond, std::optional<Duration> storeNow)
{
    book.perSecond = perSecond;
    // NOTE The numbers of turns are others now.
    book.seen = storeNow ? std::optional(turnBefore(book, *storeNow)) : std::nullopt;
}

void takeTurns(TurnBook &book, std::span<const std::uint64_t> vms, std::uint64_t own, Duration storeNow)
{
    const Duration oldest = storeNow - turnLife(book.perSecond);
    while (!book.own.empty() && book.own.front() <= oldest) {
        book.own.pop_front();
    }
    const std::int64_t newest = turnBefore(book, storeNow);
    // A clock that was set back, as of a store that was restarted, would else bring no turn for as long.
    const bool isClockBack = book.seen && *book.seen > newest + 1;
    if (!book.seen || isClockBack) {
        book.own.clear();
        book.seen = newest;
        return;
    }
    const std::int64_t first = std::max(*book.seen, turnBefore(book, oldest)) + 1;
    for (std::int64_t number = first; number <= newest; number++) {
        if (turnOwner(vms, book.server, number) == own) {
            book.own.push_back(timeOfTurn(book, number));
        }
    }
    book.seen = std::max(*book.seen, newest);
}

void useTurn(TurnBook &book)
{
    if (!book.own.empty()) {
        book.own.pop_front();
    }
}

} // namespace cardamomlift::serverlimits
