#include "retry/attemptplanner.h"

#include "backoff/retryafter.h"

#include <algorithm>

namespace cardamomlift::retry {

namespace {

/// Poll interval of a request that waits until the cause of a crash is decided or its report has reached the other VMs.
constexpr Duration UndecidedPollInterval = std::chrono::milliseconds(50);
constexpr Duration MaxUndecidedWait = std::chrono::seconds(5);
constexpr Duration UndecidedRetryAfter = std::chrono::seconds(30);
constexpr Duration ShortRetryAfter = std::chrono::seconds(1);
constexpr Duration NewServerRetryAfter = std::chrono::seconds(5);
/// An accepted answer that no server can continue now waits this long at most for the end of a backoff.
constexpr Duration MaxBackoffWait = std::chrono::seconds(5);

AttemptPlan giveUp(metrics::RefusalReason reason, std::string message, Duration retryAfter)
{
    AttemptPlan plan;
    plan.reason = reason;
    plan.message = std::move(message);
    plan.retryAfter = retryAfter;
    return plan;
}

std::string refusalMessage(metrics::RefusalReason reason)
{
    switch (reason) {
    case metrics::RefusalReason::NoBackend:
        return "No server is left on which this request has not failed.";
    case metrics::RefusalReason::DeadlineImpossible:
        return "The request failed on a server and cannot be completed on another one before its deadline.";
    case metrics::RefusalReason::OutcomeUnknown:
        return "The connection to the server broke; the request may have run.";
    default:
        return "The request failed on several servers.";
    }
}

} // namespace

std::shared_ptr<AttemptPlanner> AttemptPlanner::create(PlannerTools tools)
{
    std::shared_ptr<AttemptPlanner> planner(new AttemptPlanner);
    planner->tools_ = std::move(tools);
    planner->tools_.suspects->onRemoteCrash([router = planner->tools_.router](const std::string &instance) { router->avoid(instance); });
    return planner;
}

std::optional<membership::Vm> AttemptPlanner::chooseServer(const RequestRecord &record, bool isSuspect) const
{
    routing::RouteCriteria criteria = record.route;
    criteria.preferIdleServer = isSuspect;
    criteria.exclude = record.tried;
    criteria.serversWithSuspects = tools_.suspects->serversWithSuspects();
    auto server = tools_.router->choose(criteria);
    if (!server && record.accepted) {
        // An accepted answer is completed even on a server where it failed before, except the last one.
        criteria.exclude = {record.tried.back()};
        server = tools_.router->choose(criteria);
    }
    return server;
}

AttemptPlan AttemptPlanner::planAttempt(RequestRecord &record)
{
    const suspects::SuspectState state = tools_.suspects->stateOf(record.fingerprint);
    if (state == suspects::SuspectState::Blocked) {
        return giveUp(metrics::RefusalReason::CrashesServers,
            "This request crashed several servers and is no longer run. Change it before sending it again.",
            Duration(0));
    }
    if (record.deadline && !record.accepted && tools_.clock->now() >= *record.deadline) {
        return giveUp(metrics::RefusalReason::DeadlineImpossible, "The deadline of the request has passed.", ShortRetryAfter);
    }
    if (state == suspects::SuspectState::Undecided) {
        return planUndecided(record);
    }
    if (state == suspects::SuspectState::Suspect && !record.accepted && !tools_.suspects->isSettled(record.fingerprint)) {
        // The report of the crash must reach the other VMs before this request can cause another one.
        AttemptPlan plan;
        plan.kind = PlanKind::Wait;
        plan.wait = UndecidedPollInterval;
        return plan;
    }
    return startAttempt(record, state == suspects::SuspectState::Suspect);
}

AttemptPlan AttemptPlanner::planUndecided(RequestRecord &record)
{
    const TimePoint now = tools_.clock->now();
    record.undecidedSince = record.undecidedSince.value_or(now);
    if (now - *record.undecidedSince < MaxUndecidedWait) {
        AttemptPlan plan;
        plan.kind = PlanKind::Wait;
        plan.wait = UndecidedPollInterval;
        return plan;
    }
    // The requests whose progress could have decided the cause have ended. An accepted answer is continued despite the risk.
    if (record.accepted) {
        return startAttempt(record, true);
    }
    return giveUp(metrics::RefusalReason::RetriesExhausted, "Servers that ran this request crashed, and the cause is not known yet.", UndecidedRetryAfter);
}

AttemptPlan AttemptPlanner::startAttempt(RequestRecord &record, bool isSuspect)
{
    AttemptPlan plan;
    record.undecidedSince.reset();
    plan.server = chooseServer(record, isSuspect);
    if (!plan.server && record.accepted) {
        if (const auto wait = backoffOfOthers(record); wait && *wait <= MaxBackoffWait) {
            plan.kind = PlanKind::Wait;
            plan.wait = *wait;
            return plan;
        }
    }
    if (!plan.server) {
        return giveUp(metrics::RefusalReason::NoBackend, "No server is available for this request.", noServerRetryAfter(record));
    }
    plan.kind = PlanKind::Try;
    if (record.tried.empty()) {
        budget_.addRequest(record.route.customer);
    }
    recordStart(record, *plan.server);
    return plan;
}

std::optional<Duration> AttemptPlanner::backoffOfOthers(const RequestRecord &record) const
{
    const std::span<const std::string> last = std::span(record.tried).last(record.tried.empty() ? 0 : 1);
    return tools_.router->backoffLeft(record.route.role, record.route.name, last);
}

Duration AttemptPlanner::noServerRetryAfter(const RequestRecord &record) const
{
    const auto left = tools_.router->backoffLeft(record.route.role, record.route.name, {});
    return left ? backoff::retryAfterBackoff(*left, record.fingerprint) : NewServerRetryAfter;
}

void AttemptPlanner::recordStart(RequestRecord &record, const membership::Vm &server)
{
    record.tried.push_back(server.instance);
    record.running[server.instance] = tools_.suspects->started(server.instance, record.fingerprint, record.position);
    tools_.router->started(server.instance, record.route.customer);
    tools_.metrics->add("attempts_total");
}

std::optional<membership::Vm> AttemptPlanner::planMove(RequestRecord &record)
{
    const bool isLeaving = !record.tried.empty() && tools_.members->isLeaving(record.tried.back());
    // A request that has not been accepted needs retry budget, which attemptFailed() checks.
    const bool mayMove = record.accepted || isLeaving;
    const suspects::SuspectState state = tools_.suspects->stateOf(record.fingerprint, record.running.size());
    if (!mayMove || state == suspects::SuspectState::Blocked || state == suspects::SuspectState::Undecided) {
        return std::nullopt;
    }
    auto server = chooseServer(record, state == suspects::SuspectState::Suspect);
    if (!server) {
        return std::nullopt;
    }
    record.moves++;
    tools_.metrics->retried(isLeaving ? metrics::RetryReason::ServerLeaving : metrics::RetryReason::StreamBroken);
    recordStart(record, *server);
    return server;
}

void AttemptPlanner::adoptAttempt(RequestRecord &record, const membership::Vm &server)
{
    record.running[server.instance] = tools_.suspects->started(server.instance, record.fingerprint, record.position);
    tools_.router->started(server.instance, record.route.customer);
}

void AttemptPlanner::connectionBroken(const std::string &instance)
{
    tools_.suspects->connectionBroken(instance);
}

void AttemptPlanner::attemptReplaced(RequestRecord &record, const std::string &instance, routing::AttemptEnd end)
{
    recordEnd(record, instance, end, suspects::AttemptOutcome::Other);
}

void AttemptPlanner::progressed(RequestRecord &record, std::uint64_t position)
{
    record.accepted = true;
    record.position = position;
    if (record.running.size() == 1) {
        tools_.suspects->progressed(record.running.begin()->second, position);
    }
}

void AttemptPlanner::recordEnd(RequestRecord &record, const std::string &instance, routing::AttemptEnd end, suspects::AttemptOutcome outcome)
{
    const auto found = record.running.find(instance);
    if (found == record.running.end()) {
        return;
    }
    tools_.router->finished(instance, end, record.route.customer);
    tools_.suspects->finished(found->second, outcome);
    record.running.erase(found);
}

void AttemptPlanner::attemptEnded(RequestRecord &record, const std::string &instance, routing::AttemptEnd end)
{
    const bool isComplete = end == routing::AttemptEnd::Answered;
    recordEnd(record, instance, end, isComplete ? suspects::AttemptOutcome::Completed : suspects::AttemptOutcome::Other);
}

std::size_t AttemptPlanner::untriedServers(const RequestRecord &record) const
{
    const std::size_t left = tools_.router->availableServers(record.route.role, record.route.name, record.tried);
    if (left > 0 || !record.accepted) {
        return left;
    }
    // An accepted answer may return to any server but the last, and wait for one that backs off.
    const std::size_t others = tools_.router->availableServers(record.route.role, record.route.name, std::span(record.tried).last(1));
    return others > 0 || backoffOfOthers(record) ? 1 : 0;
}

// Other VMs are not told of servers that only this VM can't reach.
void AttemptPlanner::noteFailure(const std::string &server, FailureKind failure)
{
    if (tools_.reachability && failure == FailureKind::NotSent) {
        tools_.reachability->noteConnectFailed(server);
    } else if (tools_.reachability && mayHaveRun(failure)) {
        tools_.reachability->noteSilent();
    }
    const bool mayBeCutOff = tools_.reachability && tools_.reachability->mayBeCutOff();
    if (failure == FailureKind::NotSent && !mayBeCutOff) {
        tools_.members->reportUnreachable(server);
    }
}

AttemptPlan AttemptPlanner::attemptFailed(RequestRecord &record, const std::string &instance, FailureKind failure)
{
    const std::string server = instance.empty() ? record.tried.back() : instance;
    const bool isLeaving = tools_.members->isLeaving(server);
    if (isLeaving && mayHaveRun(failure)) {
        failure = FailureKind::ServerLeaving;
    }
    record.mayHaveRun = record.mayHaveRun || mayHaveRun(failure);
    const auto outcome = failure == FailureKind::ConnectionBroken ? suspects::AttemptOutcome::ConnectionBroken : suspects::AttemptOutcome::Other;
    recordEnd(record, server, failure == FailureKind::Refused ? routing::AttemptEnd::Refused : routing::AttemptEnd::Failed, outcome);
    if (const membership::Vm *vm = tools_.members->find(server); vm && failure != FailureKind::Refused) {
        record.route.avoidZones.push_back(vm->zone);
    }
    noteFailure(server, failure);
    RetryContext context;
    context.attempts = record.tried.size() - record.moves;
    if (tools_.suspects->stateOf(record.fingerprint) != suspects::SuspectState::Trusted) {
        // MaxCrashes already bounds the attempts of a suspect. If it were refused here, its caller would send it to another VM.
        context.attempts = std::min(context.attempts, MaxAttempts - 1);
    }
    context.failure = failure;
    context.idempotent = record.idempotent;
    context.accepted = record.accepted;
    context.serversLeft = untriedServers(record);
    if (record.deadline) {
        context.timeLeft = *record.deadline - tools_.clock->now();
    }
    const RetryDecision decision = decideRetry(context, budget_, {record.route.customer, record.route.urgency == routing::Urgency::Urgent});
    const bool needsRetry = decision.action == RetryAction::RetryNow || decision.refusalReason == metrics::RefusalReason::NoBackend;
    if (needsRetry) {
        // Counted even if the retry failed only for lack of a server, so that the counters show why attempts failed.
        tools_.metrics->retried(retryReason(failure));
    }
    if (decision.action == RetryAction::GiveUp) {
        const bool lacksServer = decision.refusalReason == metrics::RefusalReason::NoBackend;
        return giveUp(decision.refusalReason, refusalMessage(decision.refusalReason), lacksServer ? noServerRetryAfter(record) : decision.retryAfter);
    }
    AttemptPlan plan;
    plan.kind = PlanKind::Wait;
    return plan;
}

} // namespace cardamomlift::retry
