#include "suspects/crashstore.h"

#include "suspects/crashevidence.h"

#include <algorithm>

namespace cardamomlift::suspects {

namespace {

constexpr std::size_t MaxStoredCrashes = 256;
constexpr std::size_t MaxInFlight = 512;
constexpr std::size_t MaxFurthestPositions = 4096;
constexpr std::size_t MaxBlocked = 1024;
/// How many tokens an answer must have progressed beyond its position at a crash to be cleared of it. Covers tokens that the
/// crashed server had generated but that were lost in transit.
constexpr std::uint64_t ClearMargin = 8;
/// Reports about one instance within this time are taken as the same crash.
constexpr Duration SameCrashWindow = std::chrono::seconds(5);

bool addInFlight(Crash &crash, std::span<const Progress> inFlight)
{
    bool isChanged = false;
    for (const Progress &added : inFlight) {
        const bool known =
            std::any_of(crash.inFlight.begin(), crash.inFlight.end(), [&](const InFlightRequest &one) { return one.fingerprint == added.fingerprint; });
        if (!known && crash.inFlight.size() < MaxInFlight) {
            crash.inFlight.push_back({added.fingerprint, added.position, false, added.ranFor});
            isChanged = true;
        }
    }
    return isChanged;
}

} // namespace

CrashStore::CrashStore(RepeatSource repeats)
    : repeats_(repeats)
{
}

bool CrashStore::addUnconfirmedCrash(const std::string &instance, TimePoint at, std::span<const Progress> inFlight)
{
    version_++;
    return mergeCrash({instance, at, {}, false}, inFlight);
}

bool CrashStore::confirm(const std::string &instance)
{
    bool isChanged = false;
    for (Crash &crash : crashes_) {
        const bool isAwaited = crash.instance == instance && !crash.isConfirmed;
        crash.isConfirmed = crash.isConfirmed || isAwaited;
        isChanged = isChanged || isAwaited;
    }
    version_ += isChanged ? 1 : 0;
    return isChanged;
}

void CrashStore::forgetUnconfirmed(TimePoint before)
{
    const auto forgotten = std::erase_if(crashes_, [before](const Crash &crash) { return !crash.isConfirmed && crash.at < before; });
    version_ += forgotten > 0 ? 1 : 0;
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
    version_++;
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
    bool isChanged = progress.position == CompleteAnswer && lastBlocks_.erase(progress.fingerprint) > 0;
    for (Crash &crash : crashes_) {
        for (InFlightRequest &request : crash.inFlight) {
            const bool isBeyond = progress.position >= request.position + ClearMargin;
            if (request.fingerprint == progress.fingerprint && isBeyond && !request.cleared) {
                request.cleared = true;
                isChanged = true;
            }
        }
    }
    version_ += isChanged ? 1 : 0;
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

bool CrashStore::retract(const std::string &instance)
{
    version_++;
    return std::erase_if(crashes_, [&](const Crash &crash) { return crash.instance == instance; }) > 0;
}

bool CrashStore::block(Fingerprint fingerprint, TimePoint until)
{
    if (blockedUntil_.size() >= MaxBlocked) {
        const auto soonest = std::min_element(blockedUntil_.begin(), blockedUntil_.end(), [](const auto &a, const auto &b) { return a.second < b.second; });
        blockedUntil_.erase(soonest);
    }
    const bool isNew = blockedUntil_.emplace(fingerprint, until).second;
    if (isNew && repeats_ == RepeatSource::Callers) {
        noteBlock(fingerprint, until);
    }
    return isNew;
}

void CrashStore::noteBlock(Fingerprint fingerprint, TimePoint until)
{
    const Duration length = nextBlockLength(fingerprint);
    if (lastBlocks_.size() >= MaxBlocked) {
        lastBlocks_.erase(lastBlocks_.begin());
    }
    lastBlocks_[fingerprint] = {until, length};
}

Duration CrashStore::nextBlockLength(Fingerprint fingerprint) const
{
    const auto ended = lastBlocks_.find(fingerprint);
    return ended == lastBlocks_.end() ? CrashRetention : std::min(ended->second.length * 2, MaxBlockLength);
}

BlockThreshold CrashStore::thresholdFor(Fingerprint fingerprint) const
{
    if (repeats_ == RepeatSource::System) {
        return SystemThreshold;
    }
    return lastBlocks_.contains(fingerprint) ? ThresholdAfterBlock : CallerThreshold;
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

std::vector<std::pair<Fingerprint, TimePoint>> CrashStore::blockedRequests() const
{
    std::vector<std::pair<Fingerprint, TimePoint>> blocked(blockedUntil_.begin(), blockedUntil_.end());
    std::sort(blocked.begin(), blocked.end(), [](const auto &a, const auto &b) { return a.second > b.second; });
    return blocked;
}

CrashHistory CrashStore::history(TimePoint now) const
{
    return {crashes_, [this](Fingerprint fingerprint) { return isBlocked(fingerprint); }, repeats_, now};
}

SuspectState CrashStore::stateOf(Fingerprint fingerprint, TimePoint now) const
{
    if (isBlocked(fingerprint)) {
        return SuspectState::Blocked;
    }
    const CrashEvidence evidence = evidenceAgainst(history(now), fingerprint);
    const BlockThreshold threshold = thresholdFor(fingerprint);
    const SuspectState state = suspectState(evidence, threshold, now);
    const bool isConfirmed = evidence.confirmedCrashes == evidence.crashes;
    const bool hasSoleSuspectCrashes = evidence.soleSuspectCrashes >= threshold.soleSuspectCrashes;
    const bool isSettled = now - evidence.latest >= ReportSettleTime;
    if (state == SuspectState::Undecided && isConfirmed && !hasSoleSuspectCrashes && isSettled && mayProbe(history(now), fingerprint)) {
        return SuspectState::Suspect;
    }
    return state;
}

TimePoint CrashStore::latestCrash(Fingerprint fingerprint) const
{
    return evidenceAgainst(history(TimePoint()), fingerprint).latest;
}

bool CrashStore::isBlocked(Fingerprint fingerprint) const
{
    return blockedUntil_.contains(fingerprint);
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

// An ended block is remembered for as long again as it lasted.
void CrashStore::expireBlocks(TimePoint now)
{
    std::erase_if(blockedUntil_, [&](const auto &entry) { return entry.second <= now; });
    std::erase_if(lastBlocks_, [&](const auto &entry) { return entry.second.until + entry.second.length <= now; });
}

void CrashStore::expire(TimePoint now)
{
    std::erase_if(crashes_, [&](const Crash &crash) { return now - crash.at > CrashRetention; });
    expireBlocks(now);
    if (crashes_.empty()) {
        furthestPositions_.clear();
    }
}

bool CrashStore::empty() const
{
    return crashes_.empty() && blockedUntil_.empty() && lastBlocks_.empty();
}

std::size_t CrashStore::crashes() const
{
    return crashes_.size();
}

} // namespace cardamomlift::suspects
