#include "suspects/partevidence.h"

#include "suspects/answeredparts.h"

#include <algorithm>
#include <ratio>
#include <set>
#include <vector>

namespace cardamomlift::suspects {

namespace {

/// A part explains the crashes of another only if it was in flight at this share of their number: all but those with other causes.
constexpr std::ratio<3, 4> ExplainingShare;

bool contains(std::span<const PartKey> parts, PartKey part)
{
    return std::find(parts.begin(), parts.end(), part) != parts.end();
}

/// The requests at one crash, by whether they have a part.
struct CrashView {
    std::vector<const InFlightRequest *> withPart; ///< Without those that were answered since.
    std::vector<const InFlightRequest *> others;
};

CrashView viewOf(const Crash &crash, PartKey part)
{
    CrashView view;
    for (const InFlightRequest &request : crash.inFlight) {
        if (!contains(request.parts, part)) {
            view.others.push_back(&request);
        } else if (!request.cleared) {
            view.withPart.push_back(&request);
        }
    }
    return view;
}

bool isExplained(const PartHistory &history, const CrashView &view, PartKey part)
{
    const auto hasOtherBlockedPart = [&](const InFlightRequest *request) {
        return std::any_of(request->parts.begin(), request->parts.end(), [&](PartKey other) { return other != part && history.isPartBlocked(other); });
    };
    return std::any_of(view.withPart.begin(), view.withPart.end(), hasOtherBlockedPart)
        || std::any_of(view.others.begin(), view.others.end(), [&](const InFlightRequest *request) {
               return history.isRequestBlocked(request->fingerprint) || hasOtherBlockedPart(request);
           });
}

/// Whether each request with the part had another suspected one that the request to be judged lacks, and that was in flight at nearly all crashes too.
bool isDueToAbsentPart(const PartHistory &history, const CrashView &view, PartKey part, std::span<const PartKey> ofRequest)
{
    const auto mayExplain = [&](PartKey other) {
        const std::size_t crashes = history.counts->ofPart(other);
        const bool isAtNearlyAll = crashes * ExplainingShare.den >= history.counts->ofPart(part) * ExplainingShare.num;
        return other != part && crashes >= MaxCrashes && isAtNearlyAll && !contains(ofRequest, other);
    };
    return std::all_of(view.withPart.begin(), view.withPart.end(), [&](const InFlightRequest *request) {
        return std::any_of(request->parts.begin(), request->parts.end(), mayExplain);
    });
}

/// A crash that counts against a part.
struct CountedCrash {
    const Crash *crash = nullptr;
    CrashView view;
};

/// The parts that are in each request with @p part, and in no other request at the crashes: nothing tells them from it.
std::set<PartKey> companionsOf(std::span<const CountedCrash> crashes, PartKey part, const TraitCounts &counts)
{
    std::optional<std::set<PartKey>> companions;
    const auto keepThoseOf = [&companions](const InFlightRequest &request) {
        if (!companions) {
            companions.emplace(request.parts.begin(), request.parts.end());
        }
        std::erase_if(*companions, [&request](PartKey other) { return !contains(request.parts, other); });
    };
    for (const CountedCrash &counted : crashes) {
        for (const InFlightRequest *request : counted.view.withPart) {
            keepThoseOf(*request);
        }
    }
    if (!companions) {
        return {};
    }
    for (const CountedCrash &counted : crashes) {
        for (const InFlightRequest *request : counted.view.others) {
            std::erase_if(*companions, [request](PartKey other) { return contains(request->parts, other); });
        }
    }
    std::erase_if(*companions, [&](PartKey other) { return other == part || counts.ofPart(other) != counts.ofPart(part); });
    return *companions;
}

/// Judges what else may be the cause of a crash: what recurs, and as often as the part, or if the crash is not long ago.
class Rivals
{
public:
    Rivals(const PartHistory &history, PartKey part, const std::set<PartKey> &companions)
        : history_(history)
        , part_(part)
        , companions_(companions)
        , own_(history.counts->ofPart(part))
    {
    }

    bool areAt(const CountedCrash &counted) const
    {
        const auto hasRivalPart = [&](const InFlightRequest *request) {
            return std::any_of(request->parts.begin(), request->parts.end(), [&](PartKey other) {
                return other != part_ && !companions_.contains(other) && isPossibleCause(history_.counts->ofPart(other), *counted.crash);
            });
        };
        const auto isRival = [&](const InFlightRequest *request) {
            return !request->cleared && (isPossibleCause(history_.counts->ofRequest(request->fingerprint), *counted.crash) || hasRivalPart(request));
        };
        return std::any_of(counted.view.withPart.begin(), counted.view.withPart.end(), hasRivalPart)
            || std::any_of(counted.view.others.begin(), counted.view.others.end(), isRival);
    }

private:
    bool isPossibleCause(std::size_t crashes, const Crash &crash) const
    {
        return crashes > 1 && (crashes >= own_ || history_.now - crash.at < BystanderTime);
    }

    const PartHistory &history_;
    PartKey part_;
    const std::set<PartKey> &companions_;
    std::size_t own_;
};

/// The youngest run is the likeliest cause of a crash.
Run youngestRun(const Crash &crash, const CrashView &view)
{
    Duration ranFor = Duration::max();
    for (const InFlightRequest *request : view.withPart) {
        ranFor = std::min(ranFor, request->ranFor);
    }
    return {crash.at - ranFor, crash.at};
}

} // namespace

PartEvidence evidenceAgainstPart(const PartHistory &history, PartKey part, std::span<const PartKey> ofRequest)
{
    PartEvidence evidence;
    const std::optional<TimePoint> answeredAt = history.lastAnswer(part);
    std::vector<CountedCrash> counted;
    for (const Crash &crash : history.crashes) {
        CrashView view = viewOf(crash, part);
        if (view.withPart.empty() || isExplained(history, view, part) || isDueToAbsentPart(history, view, part, ofRequest)) {
            continue;
        }
        const bool wasAnswered = answeredAt && *answeredAt >= crash.at - AnswerMemory;
        if (wasAnswered && history.now - crash.at < AnswerNewsTime) {
            continue;
        }
        evidence.wasAnswered = evidence.wasAnswered || wasAnswered;
        counted.push_back({&crash, std::move(view)});
    }
    const std::set<PartKey> companions = companionsOf(counted, part, *history.counts);
    const Rivals rivals(history, part, companions);
    std::vector<Run> runs;
    std::set<Fingerprint> requests;
    for (const CountedCrash &one : counted) {
        const Crash &crash = *one.crash;
        const bool isRivalled = rivals.areAt(one);
        evidence.hasRivals = evidence.hasRivals || isRivalled;
        evidence.othersAreAnswered = evidence.othersAreAnswered || history.promptAnsweredAt > crash.at;
        evidence.crashes.crashes++;
        evidence.crashes.confirmedCrashes += crash.isConfirmed ? 1 : 0;
        evidence.crashes.soleSuspectCrashes += crash.isConfirmed && !isRivalled ? 1 : 0;
        evidence.crashes.latest = std::max(evidence.crashes.latest, crash.at);
        runs.push_back(youngestRun(crash, one.view));
        for (const InFlightRequest *request : one.view.withPart) {
            requests.insert(request->fingerprint);
        }
    }
    evidence.requests = requests.size();
    evidence.hasCompanion = !companions.empty();
    evidence.crashes.successiveCrashes = countSuccessive(std::move(runs));
    return evidence;
}

SuspectState partState(const PartEvidence &evidence, bool wasBlocked, TimePoint now)
{
    const CrashEvidence &crashes = evidence.crashes;
    if (crashes.crashes == 0) {
        return SuspectState::Trusted;
    }
    const BlockThreshold threshold = wasBlocked ? ThresholdAfterBlock : CallerThreshold;
    const std::size_t needed = evidence.wasAnswered ? MaxCrashesAfterAnswer : threshold.crashes;
    const std::size_t neededRequests = wasBlocked ? 1 : MinRequestsOfPart;
    const bool isSuspected = crashes.crashes >= needed && crashes.successiveCrashes >= threshold.successiveCrashes && evidence.requests >= neededRequests;
    // If nobody is answered, nothing tells a part that servers have answered before from any other.
    if (!isSuspected || (evidence.wasAnswered && !evidence.othersAreAnswered)) {
        return SuspectState::Suspect;
    }
    const bool isConfirmed = crashes.confirmedCrashes == crashes.crashes;
    const bool isProved = crashes.confirmedCrashes >= needed && crashes.soleSuspectCrashes >= threshold.soleSuspectCrashes;
    if (isProved && !evidence.hasCompanion && now - crashes.latest >= ReportSettleTime) {
        return SuspectState::Blocked;
    }
    // All that may be the cause waits, and nothing would ever tell the causes apart.
    if (isConfirmed && evidence.hasRivals && !isProved && now - crashes.latest >= BystanderTime) {
        return SuspectState::Suspect;
    }
    return SuspectState::Undecided;
}

} // namespace cardamomlift::suspects
