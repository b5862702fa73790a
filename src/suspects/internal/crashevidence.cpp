#include "suspects/crashevidence.h"

#include "text/digest.h"

#include <algorithm>
#include <optional>
#include <set>
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

std::size_t countOf(const std::unordered_map<std::uint64_t, std::size_t> &counts, std::uint64_t key)
{
    const auto count = counts.find(key);
    return count == counts.end() ? 0 : count->second;
}

/// Judges what else may be the cause of crashes with a request in flight that callers repeat: what recurs, and as often, or if the crash is not long ago.
class RecurringCauses
{
public:
    RecurringCauses(const CrashHistory &history, Fingerprint fingerprint)
        : history_(history)
        , fingerprint_(fingerprint)
        , own_(history.counts->ofRequest(fingerprint))
    {
    }

    bool includesRequest(const InFlightRequest &other, const Crash &crash) const
    {
        return !other.cleared && isPossibleCause(history_.counts->ofRequest(other.fingerprint), crash);
    }

    /// Of the prompt of @p request. A part of the judged request itself must recur more often than that.
    bool includesPartOf(const InFlightRequest &request, const Crash &crash) const
    {
        return !request.cleared && std::any_of(request.parts.begin(), request.parts.end(), [&](PartKey part) {
            const std::size_t crashes = history_.counts->ofPart(part);
            return request.fingerprint == fingerprint_ ? crashes > own_ : isPossibleCause(crashes, crash);
        });
    }

private:
    bool isPossibleCause(std::size_t crashes, const Crash &crash) const
    {
        return crashes > 1 && (crashes >= own_ || history_.now - crash.at < BystanderTime);
    }

    const CrashHistory &history_;
    Fingerprint fingerprint_;
    std::size_t own_;
};

bool hasBlockedPart(const CrashHistory &history, const InFlightRequest &request)
{
    return history.isPartBlocked && std::any_of(request.parts.begin(), request.parts.end(), history.isPartBlocked);
}

} // namespace

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

Fingerprint fingerprintOf(std::string_view customer, std::string_view target, std::string_view body)
{
    return text::stableHash(body, text::stableHash(target, text::stableHash(customer)));
}

TraitCounts countTraits(std::span<const Crash> crashes)
{
    TraitCounts counts;
    for (const Crash &crash : crashes) {
        std::set<PartKey> parts;
        for (const InFlightRequest &request : crash.inFlight) {
            if (!request.cleared) {
                counts.requests[request.fingerprint]++;
                parts.insert(request.parts.begin(), request.parts.end());
            }
        }
        for (const PartKey part : parts) {
            counts.parts[part]++;
        }
    }
    return counts;
}

std::size_t TraitCounts::ofRequest(Fingerprint fingerprint) const
{
    return countOf(requests, fingerprint);
}

std::size_t TraitCounts::ofPart(PartKey part) const
{
    return countOf(parts, part);
}

CrashEvidence evidenceAgainst(const CrashHistory &history, Fingerprint fingerprint)
{
    // Nearly all requests: spares them the counts.
    if (std::none_of(history.crashes.begin(), history.crashes.end(), [&](const Crash &crash) { return isInFlight(crash, fingerprint); })) {
        return {};
    }
    const auto recurring = history.repeats == RepeatSource::Callers ? std::optional(RecurringCauses(history, fingerprint)) : std::nullopt;
    CrashEvidence evidence;
    std::vector<Run> runs;
    for (const Crash &crash : history.crashes) {
        if (!isInFlight(crash, fingerprint)) {
            continue;
        }
        bool isExplained = false;
        bool hasOtherCauses = false;
        bool hasSuspectedPart = false;
        Duration ranFor{0};
        for (const InFlightRequest &request : crash.inFlight) {
            isExplained = isExplained || hasBlockedPart(history, request);
            hasSuspectedPart = hasSuspectedPart || (recurring && recurring->includesPartOf(request, crash));
            if (request.fingerprint == fingerprint) {
                ranFor = request.ranFor;
                continue;
            }
            isExplained = isExplained || history.isBlocked(request.fingerprint);
            hasOtherCauses = hasOtherCauses || (recurring ? recurring->includesRequest(request, crash) : !request.cleared);
        }
        if (isExplained) {
            continue;
        }
        hasOtherCauses = hasOtherCauses || hasSuspectedPart;
        evidence.hasSuspectedParts = evidence.hasSuspectedParts || hasSuspectedPart;
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
