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

/// How an attempt ended, as far as crashes go.
enum class AttemptOutcome {
    Whole, ///< The answer came whole.
    Broken, ///< The connection broke after the request was sent.
    Other, ///< Refused, cancelled, never sent.
};

/// What a tracker works with.
struct TrackerTools {
    EventLoop *loop = nullptr;
    std::shared_ptr<membership::Members> members;
    std::shared_ptr<membership::Gossip> gossip;
    std::shared_ptr<metrics::Metrics> metrics;
};

/// Sees which requests are in flight where, tells crashes from other ends, and shares both with the other entry VMs.
class SuspectTracker : public std::enable_shared_from_this<SuspectTracker>
{
public:
    static std::shared_ptr<SuspectTracker> create(TrackerTools tools);

    /// How a request may run now. Undecided also while another copy of a suspect runs on this VM; @p own of those that run
    /// belong to the request itself.
    Standing standing(Fingerprint fingerprint, std::size_t own = 0);
    /// Whether the last crash that speaks against it is long enough ago for all VMs to know of it.
    bool isSettled(Fingerprint fingerprint) const;
    /// Servers where a suspect runs for this VM: others keep away, where possible.
    std::vector<std::string> serversWithSuspects() const;

    AttemptId started(const std::string &instance, Fingerprint fingerprint, std::uint64_t position);
    /// The answer has @p position tokens now.
    void progressed(AttemptId attempt, std::uint64_t position);
    /// A connection to @p instance broke after requests were sent there: it may have crashed.
    void serverBroke(const std::string &instance);
    void finished(AttemptId attempt, AttemptOutcome outcome);
    /// Calls @p handler with each server that another VM saw crash.
    void onCrashTold(std::function<void(const std::string &instance)> handler);
    const CrashStore &store() const;

private:
    struct Attempt {
        std::string instance;
        Fingerprint fingerprint = 0;
        TimePoint startedAt;
        std::uint64_t position = 0;
        bool isSuspect = false;
        std::uint64_t seenVersion = 0;
        std::uint64_t clearedFrom = 0;
        bool checksServer = false;
    };
    SuspectTracker() = default;
    void onMembers();
    void clear(const Progress &progress);
    void onRumour(const membership::Rumour &rumour);
    void merge(const News &news);
    void tell(News news);
    void flush();
    TrackerTools tools_;
    CrashStore store_;
    std::unordered_map<AttemptId, Attempt> attempts_;
    std::map<std::string, TimePoint> reported_; ///< Crashes this VM has reported itself.
    std::function<void(const std::string &)> crashTold_;
    News outgoing_;
    bool flushPlanned_ = false;
    AttemptId nextAttempt_ = 1;
};

} // namespace cardamomlift::suspects
