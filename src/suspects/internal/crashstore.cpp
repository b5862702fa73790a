#include "suspects/crashstore.h"

#include "suspects/crashevidence.h"

#include <algorithm>

namespace cardamomlift::suspects {

namespace {

constexpr std::size_t MaxStoredCrashes = 256;
constexpr std::size_t MaxInFlight = 512;
constexpr std::size_t MaxFurthestPositions = 4096;
/// Parts of prompts in flight at one crash.
constexpr std::size_t MaxParts = 512;
/// How many tokens an answer must have progressed beyond its position at a crash to be cleared of it. Covers tokens that the
/// crashed server had generated but that were lost in transit.
constexpr std::uint64_t ClearMargin = 8;
/// Reports about one instance within this time are taken as the same crash.
constexpr Duration SameCrashWindow = std::chrono::seconds(5);

/// As many of the parts of @p added as may still be stored with @p crash.
std::vector<PartKey> storableParts(const Crash &crash, const Progress &added)
{
    std::size_t stored = 0;
    for (const InFlightRequest &request : crash.inFlight) {
        stored += request.parts.size();
    }
    const std::size_t count = std::min(added.parts.size(), MaxParts - std::min(stored, MaxParts));
    return {added.parts.begin(), added.parts.begin() + static_cast<std::ptrdiff_t>(count)};
}

bool addInFlight(Crash &crash, std::span<const Progress> inFlight)
{
    bool isChanged = false;
    for (const Progress &added : inFlight) {
        const bool known =
            std::any_of(crash.inFlight.begin(), crash.inFlight.end(), [&](const InFlightRequest &one) { return one.fingerprint == added.fingerprint; });
        if (!known && crash.inFlight.size() < MaxInFlight) {
            crash.inFlight.push_back({added.fingerprint, added.position, false, added.ranFor, storableParts(crash, added)});
            isChanged = true;
        }
    }
    return isChanged;
}

} // namespace

CrashStore::CrashStore(RepeatSource repeats)
    : repeats_(repeats)
    , requestBlocks_(repeats == RepeatSource::Callers)
    , partBlocks_(true)
{
}

void CrashStore::noteChange()
{
    version_++;
    counts_.reset();
}

bool CrashStore::addUnconfirmedCrash(const std::string &instance, TimePoint at, std::span<const Progress> inFlight)
{
    const bool isChanged = mergeCrash({instance, at, {}, false}, inFlight);
    if (isChanged) {
        noteChange();
    }
    return isChanged;
}

bool CrashStore::confirm(const std::string &instance)
{
    bool isChanged = false;
    for (Crash &crash : crashes_) {
        const bool isAwaited = crash.instance == instance && !crash.isConfirmed;
        crash.isConfirmed = crash.isConfirmed || isAwaited;
        isChanged = isChanged || isAwaited;
    }
    if (isChanged) {
        noteChange();
    }
    return isChanged;
}

void CrashStore::forgetUnconfirmed(TimePoint before)
{
    if (std::erase_if(crashes_, [before](const Crash &crash) { return !crash.isConfirmed && crash.at < before; }) > 0) {
        noteChange();
    }
}

std::vector<std::pair<std::string, TimePoint>> CrashStore::unconfirmed() const
{
    std::vector<std::pair<std::string, TimePoint>> servers;
    for (const Crash &crash : crashes_) {
        if (!crash.isConfirmed) {
            servers.emplace_back(crash.instance, crash.at);
        }
    }
    return servers;
}

bool CrashStore::addCrash(const std::string &instance, TimePoint at, std::span<const Progress> inFlight)
{
    noteChange();
    const bool isChanged = mergeCrash({instance, at, {}, true}, inFlight);
    for (const Progress &progress : inFlight) {
        const auto early = furthestPositions_.find(progress.fingerprint);
        if (early != furthestPositions_.end()) {
            clear({progress.fingerprint, early->second});
        }
    }
    return isChanged;
}

bool CrashStore::mergeCrash(const Crash &added, std::span<const Progress> inFlight)
{
    for (Crash &crash : crashes_) {
        const Duration apart = crash.at > added.at ? crash.at - added.at : added.at - crash.at;
        // Where callers repeat requests, each start of a server is an instance of its own, which crashes once.
        if (crash.instance == added.instance && (apart < SameCrashWindow || repeats_ == RepeatSource::Callers)) {
            return addInFlight(crash, inFlight);
        }
    }
    if (crashes_.size() >= MaxStoredCrashes) {
        crashes_.erase(crashes_.begin());
    }
    crashes_.push_back(added);
    addInFlight(crashes_.back(), inFlight);
    return true;
}

bool CrashStore::clear(const Progress &progress)
{
    if (repeats_ == RepeatSource::System) {
        noteFurthest(progress);
    }
    bool isChanged = progress.position == CompleteAnswer && requestBlocks_.forgive(progress.fingerprint);
    for (Crash &crash : crashes_) {
        for (InFlightRequest &request : crash.inFlight) {
            const bool isBeyond = progress.position >= request.position + ClearMargin;
            if (request.fingerprint == progress.fingerprint && isBeyond && !request.cleared) {
                request.cleared = true;
                isChanged = true;
            }
        }
    }
    if (isChanged) {
        noteChange();
    }
    return isChanged;
}

void CrashStore::noteFurthest(const Progress &progress)
{
    if (furthestPositions_.size() >= MaxFurthestPositions) {
        furthestPositions_.clear();
    }
    std::uint64_t &furthest = furthestPositions_[progress.fingerprint];
    furthest = std::max(furthest, progress.position);
}

std::optional<std::uint64_t> CrashStore::clearingPosition(Fingerprint fingerprint) const
{
    std::optional<std::uint64_t> from;
    for (const Crash &crash : crashes_) {
        for (const InFlightRequest &request : crash.inFlight) {
            if (request.fingerprint == fingerprint && !request.cleared) {
                from = std::max(from.value_or(0), request.position + ClearMargin);
            }
        }
    }
    return from;
}

std::vector<Progress> CrashStore::inFlightAt(const std::string &instance) const
{
    std::vector<Progress> requests;
    for (const Crash &crash : crashes_) {
        for (const InFlightRequest &request : crash.inFlight) {
            if (crash.instance == instance && !request.cleared) {
                requests.push_back({request.fingerprint, request.position, request.ranFor, request.parts});
            }
        }
    }
    return requests;
}

bool CrashStore::retract(const std::string &instance)
{
    noteChange();
    return std::erase_if(crashes_, [&](const Crash &crash) { return crash.instance == instance; }) > 0;
}

bool CrashStore::clearParts(Crash &crash, std::span<const PartKey> parts, std::vector<PartKey> &cleared) const
{
    bool isChanged = false;
    for (InFlightRequest &request : crash.inFlight) {
        const auto isAnswered = [&](PartKey part) {
            const bool isCleared = std::find(parts.begin(), parts.end(), part) != parts.end();
            if (isCleared) {
                cleared.push_back(part);
            }
            return isCleared;
        };
        isChanged = std::erase_if(request.parts, isAnswered) > 0 || isChanged;
    }
    return isChanged;
}

std::vector<PartKey> CrashStore::noteAnswered(std::span<const PartKey> parts, TimePoint at, TimePoint now)
{
    for (const PartKey part : parts) {
        answered_.note(part, at, now);
        if (at > partBlocks_.blockedSince(part)) {
            partBlocks_.lift(part);
        }
    }
    // Nearly all answers: spares them the search.
    if (std::none_of(parts.begin(), parts.end(), [this](PartKey part) { return counts().ofPart(part) > 0; })) {
        return {};
    }
    std::vector<PartKey> cleared;
    bool isChanged = false;
    for (Crash &crash : crashes_) {
        isChanged = (crash.at <= at && clearParts(crash, parts, cleared)) || isChanged;
    }
    if (isChanged) {
        noteChange();
    }
    std::sort(cleared.begin(), cleared.end());
    cleared.erase(std::unique(cleared.begin(), cleared.end()), cleared.end());
    return cleared;
}

std::optional<TimePoint> CrashStore::lastAnswer(PartKey part) const
{
    return answered_.lastAnswer(part);
}

void CrashStore::notePromptAnswered(TimePoint at)
{
    promptAnsweredAt_ = std::max(promptAnsweredAt_, at);
}

TimePoint CrashStore::promptAnsweredAt() const
{
    return promptAnsweredAt_;
}

std::size_t CrashStore::answeredParts() const
{
    return answered_.size();
}

bool CrashStore::block(Fingerprint fingerprint, TimePoint until)
{
    return requestBlocks_.block(fingerprint, until);
}

Duration CrashStore::nextBlockLength(Fingerprint fingerprint) const
{
    return requestBlocks_.nextLength(fingerprint);
}

BlockList &CrashStore::partBlocks()
{
    return partBlocks_;
}

const BlockList &CrashStore::partBlocks() const
{
    return partBlocks_;
}

BlockThreshold CrashStore::thresholdFor(Fingerprint fingerprint) const
{
    if (repeats_ == RepeatSource::System) {
        return SystemThreshold;
    }
    return requestBlocks_.wasBlocked(fingerprint) ? ThresholdAfterBlock : CallerThreshold;
}

std::vector<CrashUpdate::CrashReport> CrashStore::reportsAbout(Fingerprint fingerprint, Duration maxAge, TimePoint now) const
{
    std::vector<CrashUpdate::CrashReport> reports;
    for (auto crash = crashes_.rbegin(); crash != crashes_.rend() && reports.size() < MaxReports; ++crash) {
        for (const InFlightRequest &request : crash->inFlight) {
            if (request.fingerprint == fingerprint && !request.cleared && now - crash->at <= maxAge) {
                reports.push_back({crash->instance, now - crash->at, {{fingerprint, request.position, request.ranFor}}});
            }
        }
    }
    return reports;
}

std::vector<CrashUpdate::CrashReport> CrashStore::reportsAboutPart(PartKey part, Duration maxAge, TimePoint now) const
{
    std::vector<CrashUpdate::CrashReport> reports;
    for (auto crash = crashes_.rbegin(); crash != crashes_.rend() && reports.size() < MaxReports; ++crash) {
        const auto request = std::find_if(crash->inFlight.begin(), crash->inFlight.end(), [part](const InFlightRequest &one) {
            return !one.cleared && std::find(one.parts.begin(), one.parts.end(), part) != one.parts.end();
        });
        if (request != crash->inFlight.end() && now - crash->at <= maxAge) {
            reports.push_back({crash->instance, now - crash->at, {{request->fingerprint, request->position, request->ranFor, {part}}}});
        }
    }
    return reports;
}

std::vector<std::pair<Fingerprint, TimePoint>> CrashStore::blockedRequests() const
{
    return requestBlocks_.entries();
}

const TraitCounts &CrashStore::counts() const
{
    if (!counts_) {
        counts_ = countTraits(crashes_);
    }
    return *counts_;
}

CrashHistory CrashStore::history(TimePoint now) const
{
    CrashHistory history{crashes_, [this](Fingerprint fingerprint) { return isBlocked(fingerprint); }, repeats_, now};
    if (repeats_ == RepeatSource::Callers) {
        history.counts = &counts();
        history.isPartBlocked = [this](PartKey part) {
            return partBlocks_.isBlocked(part);
        };
    }
    return history;
}

PartHistory CrashStore::partHistory(TimePoint now) const
{
    PartHistory history;
    history.crashes = crashes_;
    history.counts = &counts();
    history.isRequestBlocked = [this](Fingerprint fingerprint) {
        return isBlocked(fingerprint);
    };
    history.isPartBlocked = [this](PartKey part) {
        return partBlocks_.isBlocked(part);
    };
    history.lastAnswer = [this](PartKey part) {
        return lastAnswer(part);
    };
    history.promptAnsweredAt = promptAnsweredAt_;
    history.now = now;
    return history;
}

PartEvidence CrashStore::evidenceAgainstPart(PartKey part, std::span<const PartKey> ofRequest, TimePoint now) const
{
    return suspects::evidenceAgainstPart(partHistory(now), part, ofRequest);
}

SuspectState CrashStore::stateOfPart(PartKey part, std::span<const PartKey> ofRequest, TimePoint now) const
{
    if (partBlocks_.isBlocked(part)) {
        return SuspectState::Blocked;
    }
    // Nearly all parts: spares them the evidence.
    if (counts().ofPart(part) == 0) {
        return SuspectState::Trusted;
    }
    return partState(evidenceAgainstPart(part, ofRequest, now), partBlocks_.wasBlocked(part), now);
}

SuspectState CrashStore::stateOf(Fingerprint fingerprint, TimePoint now) const
{
    if (isBlocked(fingerprint)) {
        return SuspectState::Blocked;
    }
    const CrashEvidence evidence = evidenceAgainst(fingerprint, now);
    const BlockThreshold threshold = thresholdFor(fingerprint);
    const SuspectState state = suspectState(evidence, threshold, now);
    const bool isConfirmed = evidence.confirmedCrashes == evidence.crashes;
    const bool hasSoleSuspectCrashes = evidence.soleSuspectCrashes >= threshold.soleSuspectCrashes;
    const bool isSettled = now - evidence.latest >= ReportSettleTime;
    const bool isOld = evidence.hasSuspectedParts && now - evidence.latest >= BystanderTime;
    const bool isAmbiguous = state == SuspectState::Undecided && isConfirmed && !hasSoleSuspectCrashes && isSettled;
    if (isAmbiguous && (isOld || mayProbe(history(now), fingerprint))) {
        return SuspectState::Suspect;
    }
    return state;
}

CrashEvidence CrashStore::evidenceAgainst(Fingerprint fingerprint, TimePoint now) const
{
    return suspects::evidenceAgainst(history(now), fingerprint);
}

std::size_t CrashStore::crashesOf(Fingerprint fingerprint) const
{
    return counts().ofRequest(fingerprint);
}

TimePoint CrashStore::latestCrash(Fingerprint fingerprint) const
{
    return evidenceAgainst(fingerprint, TimePoint()).latest;
}

bool CrashStore::isBlocked(Fingerprint fingerprint) const
{
    return requestBlocks_.isBlocked(fingerprint);
}

std::optional<TimePoint> CrashStore::crashedAt(const std::string &instance) const
{
    std::optional<TimePoint> at;
    for (const Crash &crash : crashes_) {
        if (crash.instance == instance) {
            at = crash.at;
        }
    }
    return at;
}

std::vector<std::string> CrashStore::crashedInstances() const
{
    std::vector<std::string> instances;
    for (const Crash &crash : crashes_) {
        instances.push_back(crash.instance);
    }
    return instances;
}

std::uint64_t CrashStore::version() const
{
    return version_;
}

void CrashStore::expire(TimePoint now)
{
    if (std::erase_if(crashes_, [&](const Crash &crash) { return now - crash.at > CrashRetention; }) > 0) {
        noteChange();
    }
    requestBlocks_.expire(now);
    partBlocks_.expire(now);
    if (crashes_.empty()) {
        furthestPositions_.clear();
    }
}

bool CrashStore::empty() const
{
    return crashes_.empty() && requestBlocks_.empty() && partBlocks_.empty();
}

std::size_t CrashStore::crashes() const
{
    return crashes_.size();
}

} // namespace cardamomlift::suspects
