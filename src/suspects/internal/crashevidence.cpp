#include "suspects/crashevidence.h"

#include "text/digest.h"

#include <algorithm>
#include <optional>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

namespace cardamomlift::suspects {

namespace {

/// Order in which undecided requests are probed: the least suspected first.
struct Rank {
    std::size_t crashes = 0;
    std::uint64_t remaining = 0; ///< Distance to CompleteAnswer: lower the further the answer got.
    Fingerprint fingerprint = 0;

    bool operator<(const Rank &other) const
    {
        return std::tie(crashes, remaining, fingerprint) < std::tie(other.crashes, other.remaining, other.fingerprint);
    }
};

bool isInFlight(const Crash &crash, Fingerprint fingerprint)
{
    return std::any_of(
        crash.inFlight.begin(), crash.inFlight.end(), [&](const InFlightRequest &request) { return request.fingerprint == fingerprint && !request.cleared; });
}

Rank rankOf(const CrashHistory &history, Fingerprint fingerprint)
{
    std::uint64_t furthest = 0;
    for (const Crash &crash : history.crashes) {
        for (const InFlightRequest &request : crash.inFlight) {
            furthest = request.fingerprint == fingerprint ? std::max(furthest, request.position) : furthest;
        }
    }
    return {evidenceAgainst(history, fingerprint).crashes, CompleteAnswer - furthest, fingerprint};
}

/// The number of crashes with an uncleared copy of each request in flight.
std::unordered_map<Fingerprint, std::size_t> countUncleared(std::span<const Crash> crashes)
{
    std::unordered_map<Fingerprint, std::size_t> counts;
    for (const Crash &crash : crashes) {
        for (const InFlightRequest &request : crash.inFlight) {
            counts[request.fingerprint] += request.cleared ? 0 : 1;
        }
    }
    return counts;
}

/// When one request was sent to a server, and when that server crashed.
struct Run {
    TimePoint startedAt;
    TimePoint crashedAt;
};

std::size_t countSuccessive(std::vector<Run> runs)
{
    std::sort(runs.begin(), runs.end(), [](const Run &a, const Run &b) { return a.crashedAt < b.crashedAt; });
    std::size_t count = 0;
    std::optional<TimePoint> last;
    for (const Run &run : runs) {
        if (!last || run.startedAt >= *last) {
            last = run.crashedAt;
            count++;
        }
    }
    return count;
}

} // namespace

Fingerprint fingerprintOf(std::string_view customer, std::string_view target, std::string_view body)
{
    return text::stableHash(body, text::stableHash(target, text::stableHash(customer)));
}

CrashEvidence evidenceAgainst(const CrashHistory &history, Fingerprint fingerprint)
{
    // Nearly all requests: spares them the counts.
    if (std::none_of(history.crashes.begin(), history.crashes.end(), [&](const Crash &crash) { return isInFlight(crash, fingerprint); })) {
        return {};
    }
    const bool onlyRecurring = history.repeats == RepeatSource::Callers;
    const auto uncleared = onlyRecurring ? countUncleared(history.crashes) : std::unordered_map<Fingerprint, std::size_t>();
    const auto isPossibleCause = [&](const InFlightRequest &other, const Crash &crash) {
        if (other.cleared || !onlyRecurring) {
            return !other.cleared;
        }
        const std::size_t crashes = uncleared.at(other.fingerprint);
        return crashes > 1 && (crashes >= uncleared.at(fingerprint) || history.now - crash.at < BystanderTime);
    };
    CrashEvidence evidence;
    std::vector<Run> runs;
    for (const Crash &crash : history.crashes) {
        if (!isInFlight(crash, fingerprint)) {
            continue;
        }
        bool isExplained = false;
        bool hasOtherCauses = false;
        Duration ranFor{0};
        for (const InFlightRequest &request : crash.inFlight) {
            if (request.fingerprint == fingerprint) {
                ranFor = request.ranFor;
                continue;
            }
            isExplained = isExplained || history.isBlocked(request.fingerprint);
            hasOtherCauses = hasOtherCauses || isPossibleCause(request, crash);
        }
        if (isExplained) {
            continue;
        }
        evidence.crashes++;
        evidence.confirmedCrashes += crash.isConfirmed ? 1 : 0;
        evidence.soleSuspectCrashes += crash.isConfirmed && !hasOtherCauses ? 1 : 0;
        evidence.latest = std::max(evidence.latest, crash.at);
        runs.push_back({crash.at - ranFor, crash.at});
    }
    evidence.successiveCrashes = countSuccessive(std::move(runs));
    return evidence;
}

bool mayProbe(const CrashHistory &history, Fingerprint fingerprint)
{
    const auto own = rankOf(history, fingerprint);
    bool hasOtherSuspects = false;
    for (const Crash &crash : history.crashes) {
        const bool isExplained =
            std::any_of(crash.inFlight.begin(), crash.inFlight.end(), [&](const InFlightRequest &one) { return history.isBlocked(one.fingerprint); });
        if (!isInFlight(crash, fingerprint) || isExplained) {
            continue;
        }
        for (const InFlightRequest &request : crash.inFlight) {
            if (request.fingerprint == fingerprint || request.cleared) {
                continue;
            }
            hasOtherSuspects = true;
            if (rankOf(history, request.fingerprint) < own) {
                return false;
            }
        }
    }
    return hasOtherSuspects;
}

SuspectState suspectState(const CrashEvidence &evidence, const BlockThreshold &threshold, TimePoint now)
{
    if (evidence.crashes == 0) {
        return SuspectState::Trusted;
    }
    if (evidence.crashes < threshold.crashes || evidence.successiveCrashes < threshold.successiveCrashes) {
        return SuspectState::Suspect;
    }
    const bool isProved = evidence.confirmedCrashes >= threshold.crashes && evidence.soleSuspectCrashes >= threshold.soleSuspectCrashes;
    const bool isSettled = now - evidence.latest >= ReportSettleTime;
    return isProved && isSettled ? SuspectState::Blocked : SuspectState::Undecided;
}

} // namespace cardamomlift::suspects
