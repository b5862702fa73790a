#include "suspects/crashevidence.h"

#include "text/digest.h"

#include <algorithm>
#include <tuple>

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

Rank rankOf(std::span<const Crash> crashes, Fingerprint fingerprint, const std::function<bool(Fingerprint)> &isBlocked)
{
    std::uint64_t furthest = 0;
    for (const Crash &crash : crashes) {
        for (const InFlightRequest &request : crash.inFlight) {
            furthest = request.fingerprint == fingerprint ? std::max(furthest, request.position) : furthest;
        }
    }
    return {evidenceAgainst(crashes, fingerprint, isBlocked).crashes, CompleteAnswer - furthest, fingerprint};
}

} // namespace

Fingerprint fingerprintOf(std::string_view customer, std::string_view target, std::string_view body)
{
    return text::stableHash(body, text::stableHash(target, text::stableHash(customer)));
}

CrashEvidence evidenceAgainst(std::span<const Crash> crashes, Fingerprint fingerprint, const std::function<bool(Fingerprint)> &isBlocked)
{
    CrashEvidence evidence;
    for (const Crash &crash : crashes) {
        bool wasInFlight = false;
        bool isExplained = false;
        bool hasOtherCauses = false;
        for (const InFlightRequest &request : crash.inFlight) {
            if (request.fingerprint == fingerprint) {
                wasInFlight = !request.cleared;
                continue;
            }
            isExplained = isExplained || isBlocked(request.fingerprint);
            hasOtherCauses = hasOtherCauses || !request.cleared;
        }
        if (!wasInFlight || isExplained) {
            continue;
        }
        evidence.crashes++;
        evidence.soleSuspectCrashes += hasOtherCauses ? 0 : 1;
        evidence.latest = std::max(evidence.latest, crash.at);
    }
    return evidence;
}

bool mayProbe(std::span<const Crash> crashes, Fingerprint fingerprint, const std::function<bool(Fingerprint)> &isBlocked)
{
    const auto own = rankOf(crashes, fingerprint, isBlocked);
    bool hasOtherSuspects = false;
    for (const Crash &crash : crashes) {
        const bool isExplained =
            std::any_of(crash.inFlight.begin(), crash.inFlight.end(), [&](const InFlightRequest &one) { return isBlocked(one.fingerprint); });
        if (!isInFlight(crash, fingerprint) || isExplained) {
            continue;
        }
        for (const InFlightRequest &request : crash.inFlight) {
            if (request.fingerprint == fingerprint || request.cleared) {
                continue;
            }
            hasOtherSuspects = true;
            if (rankOf(crashes, request.fingerprint, isBlocked) < own) {
                return false;
            }
        }
    }
    return hasOtherSuspects;
}

SuspectState suspectState(const CrashEvidence &evidence, TimePoint now)
{
    if (evidence.crashes == 0) {
        return SuspectState::Trusted;
    }
    if (evidence.crashes < MaxCrashes) {
        return SuspectState::Suspect;
    }
    const bool hasSoleSuspectCrashes = evidence.soleSuspectCrashes >= MinSoleSuspectCrashes;
    const bool isSettled = now - evidence.latest >= ReportSettleTime;
    return hasSoleSuspectCrashes && isSettled ? SuspectState::Blocked : SuspectState::Undecided;
}

} // namespace cardamomlift::suspects
