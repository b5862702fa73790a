#pragma once

#include "membership/members.h"
#include "metrics/metrics.h"
#include "retry/retrydecision.h"
#include "routing/router.h"
#include "suspects/suspecttracker.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cardamomlift::retry {

/// One request over its attempts.
struct RequestRecord {
    routing::RouteCriteria route; ///< Filled by the request's owner, but for what attempts add.
    suspects::Fingerprint fingerprint = 0;
    bool idempotent = true; ///< May be repeated though it may have run.
    bool mayHaveRun = false; ///< A server may have run a part of it.
    bool accepted = false; ///< The caller has seen a part of the answer.
    std::uint64_t position = 0; ///< Tokens of the answer so far.
    std::optional<TimePoint> deadline; ///< Of the first token, or of a service's answer. None binds what was accepted.
    std::vector<std::string> tried; ///< Instances, in order.
    /// Attempts that run now, by instance: two while the answer moves from one server to the next.
    std::map<std::string, suspects::AttemptId> running;
    std::size_t moves = 0; ///< Of the tried: moves of an accepted answer, which are no failures.
    std::optional<TimePoint> undecidedSince; ///< It waits for the verdict on a crash.
};

enum class PlanKind {
    Try, ///< At AttemptPlan::server, now.
    Wait, ///< Ask again after AttemptPlan::wait.
    GiveUp,
};

struct AttemptPlan {
    PlanKind kind = PlanKind::GiveUp;
    std::optional<membership::Vm> server;
    Duration wait{0};
    metrics::RefusalReason reason = metrics::RefusalReason::NoBackend; ///< With GiveUp.
    std::string message; ///< With GiveUp: for the caller.
    Duration retryAfter{0}; ///< With GiveUp: when to come back; 0: a repeat does not help.
};

struct PlannerTools {
    const Clock *clock = nullptr;
    std::shared_ptr<routing::Router> router;
    std::shared_ptr<suspects::SuspectTracker> suspects;
    std::shared_ptr<membership::Members> members;
    std::shared_ptr<metrics::Metrics> metrics;
};

/// Plans the attempts of requests: which server next, whether to try again, when to give up. Keeps the books of routing,
/// the retry budget and the suspects.
class AttemptPlanner
{
public:
    static std::shared_ptr<AttemptPlanner> create(PlannerTools tools);

    /// Where to send the next attempt. With PlanKind::Try the attempt counts as started.
    AttemptPlan next(RequestRecord &record);
    /// Another server for an answer that its server can't go on with, or none. The attempt counts as started.
    std::optional<membership::Vm> move(RequestRecord &record);
    /// The attempt that another VM started at @p server goes on here; it is among the tried.
    void joined(RequestRecord &record, const membership::Vm &server);
    /// The connection to @p instance broke.
    void broken(const std::string &instance);
    /// The attempt at @p instance ended, but another one goes on.
    void left(RequestRecord &record, const std::string &instance, routing::AttemptEnd end);
    /// The answer has @p position tokens now.
    void progressed(RequestRecord &record, std::uint64_t position);
    /// The attempt at @p instance ended well, or for a reason that another server would not mend.
    void ended(RequestRecord &record, const std::string &instance, routing::AttemptEnd end);
    /// The attempt at @p instance failed, and no other runs. With PlanKind::Wait go on with next(), else the plan is to give up.
    AttemptPlan failed(RequestRecord &record, const std::string &instance, Evidence evidence);

private:
    AttemptPlanner() = default;
    std::optional<membership::Vm> chooseServer(const RequestRecord &record, bool isSuspect) const;
    AttemptPlan onUndecided(RequestRecord &record);
    AttemptPlan start(RequestRecord &record, bool isSuspect);
    std::size_t serversLeft(const RequestRecord &record) const;
    void begin(RequestRecord &record, const membership::Vm &server);
    void close(RequestRecord &record, const std::string &instance, routing::AttemptEnd end, suspects::AttemptOutcome outcome);
    PlannerTools tools_;
    RetryBudget budget_ = RetryBudget::create({});
};

} // namespace cardamomlift::retry
