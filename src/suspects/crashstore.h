#pragma once

#include "suspects/answeredparts.h"
#include "suspects/blocklist.h"
#include "suspects/crashevidence.h"
#include "suspects/partevidence.h"
#include "suspects/suspecttypes.h"

#include <optional>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

namespace cardamomlift::suspects {

/// The crashes known to this VM and what is blocked as their cause, requests and parts of prompts, including those reported by other VMs. Bounded in size: the
/// oldest are evicted. Entries expire after CrashRetention.
class CrashStore
{
public:
    explicit CrashStore(RepeatSource repeats = RepeatSource::System);
    /// Records that @p inFlight were in flight on @p instance when it crashed. Reports of one crash are merged. Returns false
    /// if nothing changed.
    bool addCrash(const std::string &instance, TimePoint at, std::span<const Progress> inFlight);
    /// Like addCrash(), for connections that broke: it counts as a crash until forgetUnconfirmed(), or for good if it is confirmed.
    bool addUnconfirmedCrash(const std::string &instance, TimePoint at, std::span<const Progress> inFlight);
    /// Confirms the crash of @p instance. Returns false if there is none to confirm.
    bool confirm(const std::string &instance);
    /// Removes unconfirmed crashes from before @p before.
    void forgetUnconfirmed(TimePoint before);
    /// The servers with an unconfirmed crash, with its time.
    std::vector<std::pair<std::string, TimePoint>> unconfirmed() const;
    /// Records the progress of a request. It is cleared of each known crash that its answer has clearly passed. Returns false
    /// if nothing changed.
    bool clear(const Progress &progress);
    /// The least position that clears @p fingerprint of all crashes; empty if there is no crash to clear it of.
    std::optional<std::uint64_t> clearingPosition(Fingerprint fingerprint) const;
    /// The requests in flight at the crashes of @p instance, without those that an answer has cleared.
    std::vector<Progress> inFlightAt(const std::string &instance) const;
    /// Removes the crashes of @p instance, which was found not to have crashed. Returns false if there are none.
    bool retract(const std::string &instance);
    /// Blocks a request until @p until. Returns false if it is already blocked.
    bool block(Fingerprint fingerprint, TimePoint until);
    Duration nextBlockLength(Fingerprint fingerprint) const;
    /// Records that a server has answered a request with @p parts at @p at. Clears them of the crashes before, and returns those that were in flight at one.
    std::vector<PartKey> noteAnswered(std::span<const PartKey> parts, TimePoint at, TimePoint now);
    /// The last answer of a server to a request with @p part; empty if none is known.
    std::optional<TimePoint> lastAnswer(PartKey part) const;
    /// Records that a server has answered some request with a prompt at @p at.
    void notePromptAnswered(TimePoint at);
    /// When a server last answered any request with a prompt; the clock's origin if none is known.
    TimePoint promptAnsweredAt() const;
    /// How a request with the parts @p ofRequest may run because of @p part, one of them. Does not block it by itself.
    SuspectState stateOfPart(PartKey part, std::span<const PartKey> ofRequest, TimePoint now) const;
    PartEvidence evidenceAgainstPart(PartKey part, std::span<const PartKey> ofRequest, TimePoint now) const;
    /// Like reportsAbout(), for a part.
    std::vector<CrashUpdate::CrashReport> reportsAboutPart(PartKey part, Duration maxAge, TimePoint now) const;
    /// The parts whose requests are refused.
    BlockList &partBlocks();
    const BlockList &partBlocks() const;
    std::size_t answeredParts() const;
    /// The last crashes that @p fingerprint may have caused, not older than @p maxAge and MaxReports at most, as reports about this
    /// request alone.
    std::vector<CrashUpdate::CrashReport> reportsAbout(Fingerprint fingerprint, Duration maxAge, TimePoint now) const;
    static constexpr std::size_t MaxReports = 2 * MaxCrashes;
    /// The blocked requests, those that are blocked for longest first.
    std::vector<std::pair<Fingerprint, TimePoint>> blockedRequests() const;
    /// How @p fingerprint may run. Does not block it by itself.
    SuspectState stateOf(Fingerprint fingerprint, TimePoint now) const;
    /// The crashes of which @p fingerprint may be the cause.
    CrashEvidence evidenceAgainst(Fingerprint fingerprint, TimePoint now) const;
    /// The number of crashes with @p fingerprint in flight of which no answer has cleared it.
    std::size_t crashesOf(Fingerprint fingerprint) const;
    /// Time of the latest crash of which @p fingerprint may be the cause; the clock's origin if there is none.
    TimePoint latestCrash(Fingerprint fingerprint) const;
    bool isBlocked(Fingerprint fingerprint) const;
    /// Time of the latest crash of @p instance, if any.
    std::optional<TimePoint> crashedAt(const std::string &instance) const;
    std::vector<std::string> crashedInstances() const;
    /// Increases whenever the crashes may have changed.
    std::uint64_t version() const;
    /// Removes what has expired.
    void expire(TimePoint now);
    bool empty() const;
    std::size_t crashes() const;

private:
    void noteChange();
    bool mergeCrash(const Crash &added, std::span<const Progress> inFlight);
    CrashHistory history(TimePoint now) const;
    void noteFurthest(const Progress &progress);
    PartHistory partHistory(TimePoint now) const;
    const TraitCounts &counts() const;
    bool clearParts(Crash &crash, std::span<const PartKey> parts, std::vector<PartKey> &cleared) const;
    BlockThreshold thresholdFor(Fingerprint fingerprint) const;
    RepeatSource repeats_;
    std::vector<Crash> crashes_; ///< In the order in which they were first reported.
    /// The furthest position of each request. Gossip is not ordered, so progress may be received before the report of the
    /// crash that it clears.
    std::unordered_map<Fingerprint, std::uint64_t> furthestPositions_;
    BlockList requestBlocks_;
    BlockList partBlocks_;
    AnsweredParts answered_;
    TimePoint promptAnsweredAt_;
    mutable std::optional<TraitCounts> counts_; ///< Empty until needed after a change.
    std::uint64_t version_ = 1;
};

/// How long a crash is remembered.
inline constexpr Duration CrashRetention = std::chrono::minutes(10);

} // namespace cardamomlift::suspects
