#include "suspects/crashevidence.h"

#include "text/digest.h"

#include <algorithm>
#include <tuple>

namespace cardamomlift::suspects {

namespace {

/// Order in which undecided requests run: least suspected first.
struct Rank {
    std::size_t crashes = 0;
    std::uint64_t missing = 0; ///< The further an answer had come, the less.
    Fingerprint fingerprint = 0;

    bool operator<(const Rank &other) const
    {
        return std::tie(crashes, missing, fingerprint) < std::tie(other.crashes, other.missing, other.fingerprint);
    }
};

bool isPresent(const Crash &crash, Fingerprint fingerprint)
{
    return std::any_of(
        crash.present.begin(), crash.present.end(), [&](const Presence &presence) { return presence.fingerprint == fingerprint && !presence.cleared; });
}

Rank rankOf(std::span<const Crash> crashes, Fingerprint fingerprint, const std::function<bool(Fingerprint)> &isConvicted)
{
    std::uint64_t furthest = 0;
    for (const Crash &crash : crashes) {
        for (const Presence &presence : crash.present) {
            furthest = presence.fingerprint == fingerprint ? std::max(furthest, presence.position) : furthest;
        }
    }
    return {evidenceAgainst(crashes, fingerprint, isConvicted).crashes, WholeAnswer - furthest, fingerprint};
}

} // namespace

Fingerprint fingerprintOf(std::string_view customer, std::string_view target, std::string_view body)
{
    return text::stableHash(body, text::stableHash(target, text::stableHash(customer)));
}

CrashEvidence evidenceAgainst(std::span<const Crash> crashes, Fingerprint fingerprint, const std::function<bool(Fingerprint)> &isConvicted)
{
    CrashEvidence evidence;
    for (const Crash &crash : crashes) {
        bool wasPresent = false;
        bool isExplained = false;
        bool hasOthers = false;
        for (const Presence &presence : crash.present) {
            if (presence.fingerprint == fingerprint) {
                wasPresent = !presence.cleared;
                continue;
            }
            isExplained = isExplained || isConvicted(presence.fingerprint);
            hasOthers = hasOthers || !presence.cleared;
        }
        if (!wasPresent || isExplained) {
            continue;
        }
        evidence.crashes++;
        evidence.onlyCause += hasOthers ? 0 : 1;
        evidence.latest = std::max(evidence.latest, crash.at);
    }
    return evidence;
}

bool mayProbe(std::span<const Crash> crashes, Fingerprint fingerprint, const std::function<bool(Fingerprint)> &isConvicted)
{
    const auto own = rankOf(crashes, fingerprint, isConvicted);
    bool hasRivals = false;
    for (const Crash &crash : crashes) {
        const bool isExplained = std::any_of(crash.present.begin(), crash.present.end(), [&](const Presence &one) { return isConvicted(one.fingerprint); });
        if (!isPresent(crash, fingerprint) || isExplained) {
            continue;
        }
        for (const Presence &presence : crash.present) {
            if (presence.fingerprint == fingerprint || presence.cleared) {
                continue;
            }
            hasRivals = true;
            if (rankOf(crashes, presence.fingerprint, isConvicted) < own) {
                return false;
            }
        }
    }
    return hasRivals;
}

Standing standingOf(const CrashEvidence &evidence, TimePoint now)
{
    if (evidence.crashes == 0) {
        return Standing::Trusted;
    }
    if (evidence.crashes < MaxCrashes) {
        return Standing::Suspect;
    }
    const bool isProved = evidence.onlyCause >= OnlyCauseNeeded;
    const bool isSettled = now - evidence.latest >= SettleTime;
    return isProved && isSettled ? Standing::Convicted : Standing::Undecided;
}

} // namespace cardamomlift::suspects
