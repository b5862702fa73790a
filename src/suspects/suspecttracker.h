#pragma once

#include "kernel/eventloop.h"
#include "membership/gossip.h"
#include "membership/members.h"
#include "metrics/metrics.h"
#include "suspects/crashstore.h"

#include <map>
#include <memory>
#include <unordered_map>

namespace cardamomlift::suspects {

using AttemptId = std::uint64_t;

/// How an attempt ended, as far as it matters for crash detection.
enum class AttemptOutcome {
    Completed, ///< The answer was received completely.
    ConnectionBroken, ///< The connection broke after the request was sent.
    Other, ///< The request was refused, cancelled or never sent.
};

/// Dependencies of SuspectTracker.
struct TrackerTools {
    EventLoop *loop = nullptr;
    std::shared_ptr<membership::Members> members;
    std::shared_ptr<membership::Gossip> gossip;
    std::shared_ptr<metrics::Metrics> metrics;
};

/// Tracks which requests are in flight on which servers, detects crashes of servers, and gossips crashes and the progress of
/// suspects to the other entry VMs.
class SuspectTracker : public std::enable_shared_from_this<SuspectTracker>
{
public:
    static std::shared_ptr<SuspectTracker> create(TrackerTools tools);

    /// How a request may run now. Also Undecided while another copy of a suspect runs on this VM; @p ownCopies of the running
    /// copies are attempts of the request itself.
    SuspectState stateOf(Fingerprint fingerprint, std::size_t ownCopies = 0);
    /// Whether the latest crash that the request may have caused is long enough ago for all VMs to know of it.
    bool isSettled(Fingerprint fingerprint) const;
    /// Servers on which this VM runs a suspect. Other requests avoid them where possible.
    std::vector<std::string> serversWithSuspects() const;

    AttemptId started(const std::string &instance, Fingerprint fingerprint, std::uint64_t position);
    /// The answer now has @p position tokens.
    void progressed(AttemptId attempt, std::uint64_t position);
    /// A connection to @p instance broke after requests had been sent on it, so the server may have crashed.
    void connectionBroken(const std::string &instance);
    void finished(AttemptId attempt, AttemptOutcome outcome);
    /// Calls @p handler with each server for which another VM reports a crash.
    void onRemoteCrash(std::function<void(const std::string &instance)> handler);
    const CrashStore &store() const;

private:
    struct Attempt {
        std::string instance;
        Fingerprint fingerprint = 0;
        TimePoint startedAt;
        std::uint64_t position = 0;
        bool isSuspect = false;
        std::uint64_t storeVersion = 0; ///< CrashStore::version() for which the next two members were computed.
        std::uint64_t clearingPosition = 0;
        bool mayRetractCrash = false; ///< It started before a crash was reported, so later tokens show that the server is alive.
    };
    SuspectTracker() = default;
    void onMembersChanged();
    void clear(const Progress &progress);
    void onRumour(const membership::Rumour &rumour);
    void merge(const CrashUpdate &update);
    void queueUpdate(CrashUpdate update);
    void flush();
    TrackerTools tools_;
    CrashStore store_;
    std::unordered_map<AttemptId, Attempt> attempts_;
    std::map<std::string, TimePoint> reported_; ///< Latest crash reports by this VM, by instance.
    std::function<void(const std::string &)> remoteCrashHandler_;
    CrashUpdate pendingUpdate_;
    bool isFlushScheduled_ = false;
    AttemptId nextAttempt_ = 1;
};

} // namespace cardamomlift::suspects
