#pragma once

#include "suspects/crashevidence.h"
#include "suspects/suspecttypes.h"

#include <optional>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

namespace cardamomlift::suspects {

/// The crashes and blocked requests known to this VM, including those reported by other VMs. Bounded in size: the oldest are
/// evicted. Entries expire after CrashRetention.
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
    /// Removes the crashes of @p instance, which was found not to have crashed. Returns false if there are none.
    bool retract(const std::string &instance);
    /// Blocks a request until @p until. Returns false if it is already blocked.
    bool block(Fingerprint fingerprint, TimePoint until);
    /// How long the next block of @p fingerprint lasts: CrashRetention, and twice as long with each time that the request crashed a
    /// server after the end of a block.
    Duration nextBlockLength(Fingerprint fingerprint) const;
    /// The last crashes that @p fingerprint may have caused, not older than @p maxAge and MaxReports at most, as reports about this
    /// request alone.
    std::vector<CrashUpdate::CrashReport> reportsAbout(Fingerprint fingerprint, Duration maxAge, TimePoint now) const;
    static constexpr std::size_t MaxReports = 2 * MaxCrashes;
    /// The blocked requests, those that are blocked for longest first.
    std::vector<std::pair<Fingerprint, TimePoint>> blockedRequests() const;
    /// How @p fingerprint may run. Does not block it by itself.
    SuspectState stateOf(Fingerprint fingerprint, TimePoint now) const;
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
    bool mergeCrash(const Crash &added, std::span<const Progress> inFlight);
    CrashHistory history(TimePoint now) const;
    void noteFurthest(const Progress &progress);
    BlockThreshold thresholdFor(Fingerprint fingerprint) const;
    void noteBlock(Fingerprint fingerprint, TimePoint until);
    void expireBlocks(TimePoint now);
    RepeatSource repeats_;
    std::vector<Crash> crashes_; ///< In the order in which they were first reported.
    /// The furthest position of each request. Gossip is not ordered, so progress may be received before the report of the
    /// crash that it clears.
    std::unordered_map<Fingerprint, std::uint64_t> furthestPositions_;
    std::unordered_map<Fingerprint, TimePoint> blockedUntil_;
    /// A block, also after its end: then one crash blocks the request again, and a complete answer lifts that.
    struct LastBlock {
        TimePoint until;
        Duration length{0};
    };
    std::unordered_map<Fingerprint, LastBlock> lastBlocks_; ///< Only if callers repeat requests.
    std::uint64_t version_ = 1;
};

/// How long a crash is remembered, and the first block of a request lasts.
inline constexpr Duration CrashRetention = std::chrono::minutes(10);
/// The longest block.
inline constexpr Duration MaxBlockLength = std::chrono::hours(24);

} // namespace cardamomlift::suspects
