#pragma once

#include "membership/members.h"
#include "metrics/metrics.h"
#include "reachability/reachabilitytracker.h"
#include "retry/retrydecision.h"
#include "routing/router.h"
#include "suspects/suspecttracker.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cardamomlift::retry {

/// State of one request across its attempts.
struct RequestRecord {
    routing::RouteCriteria route; ///< Set by the owner of the record; failed attempts add zones to avoid.
    suspects::Fingerprint fingerprint = 0;
    bool idempotent = true; ///< May be repeated even if it has run.
    bool mayHaveRun = false; ///< A server may have run the request or a part of it.
    bool accepted = false; ///< The caller has received a part of the answer.
    std::uint64_t position = 0; ///< Tokens of the answer received so far.
    std::optional<TimePoint> deadline; ///< For the first token, or for the answer of a service. Does not apply once accepted.
    std::vector<std::string> tried; ///< Instances of the servers of all attempts, in order.
    /// Running attempts by instance: two while the answer moves from one server to the next.
    std::map<std::string, suspects::AttemptId> running;
    std::size_t moves = 0; ///< How many of the attempts were moves of the answer to another server, which do not count as failures.
    std::optional<TimePoint> undecidedSince; ///< Since when the request has waited because the cause of a crash is undecided.
};

enum class PlanKind {
    Try, ///< Send to AttemptPlan::server now.
    Wait, ///< Call planAttempt() again after AttemptPlan::wait.
    GiveUp,
};

struct AttemptPlan {
    PlanKind kind = PlanKind::GiveUp;
    std::optional<membership::Vm> server;
    Duration wait{0};
    metrics::RefusalReason reason = metrics::RefusalReason::NoBackend; ///< With GiveUp.
    std::string message; ///< With GiveUp: error message for the caller.
    Duration retryAfter{0}; ///< With GiveUp: when the caller may retry; 0 if a repeat would not help.
};

/// Dependencies of AttemptPlanner.
struct PlannerTools {
    const Clock *clock = nullptr;
    std::shared_ptr<routing::Router> router;
    std::shared_ptr<suspects::SuspectTracker> suspects;
    std::shared_ptr<membership::Members> members;
    std::shared_ptr<metrics::Metrics> metrics;
    std::shared_ptr<reachability::ReachabilityTracker> reachability; ///< May be null.
};

/// Plans the attempts of requests: which server is next, whether to retry, when to give up. Reports the start and the end of
/// each attempt to the router and the suspect tracker, and accounts for retries in the retry budget.
class AttemptPlanner
{
public:
    static std::shared_ptr<AttemptPlanner> create(PlannerTools tools);

    /// Chooses the server of the next attempt. With PlanKind::Try the attempt is recorded as started.
    AttemptPlan planAttempt(RequestRecord &record);
    /// Chooses another server for an answer that its current server cannot continue; empty if there is none. The attempt is
    /// recorded as started.
    std::optional<membership::Vm> planMove(RequestRecord &record);
    /// Continues here an attempt that another VM started on @p server. The server is already in RequestRecord::tried.
    void adoptAttempt(RequestRecord &record, const membership::Vm &server);
    /// Reports that a connection to @p instance broke.
    void connectionBroken(const std::string &instance);
    /// The attempt on @p instance ended, and another attempt continues the answer.
    void attemptReplaced(RequestRecord &record, const std::string &instance, routing::AttemptEnd end);
    /// The answer now has @p position tokens.
    void progressed(RequestRecord &record, std::uint64_t position);
    /// The attempt on @p instance succeeded, or ended for a reason that a retry on another server would not change.
    void attemptEnded(RequestRecord &record, const std::string &instance, routing::AttemptEnd end);
    /// The attempt on @p instance failed, and no other one is running. The plan is PlanKind::Wait, after which the caller calls
    /// planAttempt(), or PlanKind::GiveUp.
    AttemptPlan attemptFailed(RequestRecord &record, const std::string &instance, FailureKind failure);

private:
    AttemptPlanner() = default;
    std::optional<membership::Vm> chooseServer(const RequestRecord &record, bool isSuspect) const;
    AttemptPlan planUndecided(RequestRecord &record);
    AttemptPlan startAttempt(RequestRecord &record, bool isSuspect);
    /// Number of servers without an attempt of this request that accept one now; at least 1 for an accepted answer that another server
    /// can continue, now or after its backoff.
    std::size_t untriedServers(const RequestRecord &record) const;
    /// The time until a server other than the last accepts an attempt, if all others back off.
    std::optional<Duration> backoffOfOthers(const RequestRecord &record) const;
    /// When a caller may retry whose request no server accepts now.
    Duration noServerRetryAfter(const RequestRecord &record) const;
    /// Takes in what a failed attempt says of the server, and of whether this VM reaches any.
    void noteFailure(const std::string &server, FailureKind failure);
    void recordStart(RequestRecord &record, const membership::Vm &server);
    void recordEnd(RequestRecord &record, const std::string &instance, routing::AttemptEnd end, suspects::AttemptOutcome outcome);
    PlannerTools tools_;
    RetryBudget budget_ = RetryBudget::create({});
};

} // namespace cardamomlift::retry
