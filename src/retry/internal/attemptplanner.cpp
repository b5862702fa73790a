#include "retry/attemptplanner.h"

#include <algorithm>

namespace cardamomlift::retry {

namespace {

/// How often a request that must wait for the verdict on a crash asks again.
constexpr Duration AskAgain = std::chrono::milliseconds(50);
constexpr Duration LongestUndecided = std::chrono::seconds(5);
constexpr Duration ComeBackAfterVerdict = std::chrono::seconds(30);
constexpr Duration ComeBackSoon = std::chrono::seconds(1);
constexpr Duration ComeBackWithServers = std::chrono::seconds(5);

AttemptPlan giveUp(metrics::RefusalReason reason, std::string message, Duration retryAfter)
{
    AttemptPlan plan;
    plan.reason = reason;
    plan.message = std::move(message);
    plan.retryAfter = retryAfter;
    return plan;
}

std::string messageOf(metrics::RefusalReason reason)
{
    switch (reason) {
    case metrics::RefusalReason::NoBackend:
        return "No server that has not failed is left for this now.";
    case metrics::RefusalReason::DeadlineImpossible:
        return "The request failed on a server and can't be in time on another.";
    case metrics::RefusalReason::OutcomeUnknown:
        return "The server broke off; the request may have run.";
    default:
        return "The request failed on several servers.";
    }
}

} // namespace

std::shared_ptr<AttemptPlanner> AttemptPlanner::create(PlannerTools tools)
{
    std::shared_ptr<AttemptPlanner> planner(new AttemptPlanner);
    planner->tools_ = std::move(tools);
    planner->tools_.suspects->onCrashTold([router = planner->tools_.router](const std::string &instance) { router->avoid(instance); });
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
        // An accepted answer is finished even on a server that broke off before, but for the last one.
        criteria.exclude = {record.tried.back()};
        server = tools_.router->choose(criteria);
    }
    return server;
}

AttemptPlan AttemptPlanner::next(RequestRecord &record)
{
    const suspects::Standing standing = tools_.suspects->standing(record.fingerprint);
    if (standing == suspects::Standing::Convicted) {
        return giveUp(metrics::RefusalReason::CrashesServers,
            "This request crashed several servers and is not run again. Change it before you send it again.",
            Duration(0));
    }
    if (record.deadline && !record.accepted && tools_.clock->now() >= *record.deadline) {
        return giveUp(metrics::RefusalReason::DeadlineImpossible, "The request can't be in time any more.", ComeBackSoon);
    }
    if (standing == suspects::Standing::Undecided) {
        return onUndecided(record);
    }
    if (standing == suspects::Standing::Suspect && !record.accepted && !tools_.suspects->isSettled(record.fingerprint)) {
        // The other VMs must hear of the crash before the next one.
        AttemptPlan plan;
        plan.kind = PlanKind::Wait;
        plan.wait = AskAgain;
        return plan;
    }
    return start(record, standing == suspects::Standing::Suspect);
}

AttemptPlan AttemptPlanner::onUndecided(RequestRecord &record)
{
    const TimePoint now = tools_.clock->now();
    record.undecidedSince = record.undecidedSince.value_or(now);
    if (now - *record.undecidedSince < LongestUndecided) {
        AttemptPlan plan;
        plan.kind = PlanKind::Wait;
        plan.wait = AskAgain;
        return plan;
    }
    // Whoever could have decided it is gone. What is accepted goes on, and takes the risk.
    if (record.accepted) {
        return start(record, true);
    }
    return giveUp(metrics::RefusalReason::RetriesExhausted, "Servers that ran this request crashed, and the cause is not known yet.", ComeBackAfterVerdict);
}

AttemptPlan AttemptPlanner::start(RequestRecord &record, bool isSuspect)
{
    AttemptPlan plan;
    record.undecidedSince.reset();
    plan.server = chooseServer(record, isSuspect);
    if (!plan.server) {
        return giveUp(metrics::RefusalReason::NoBackend, "No server runs this now.", ComeBackWithServers);
    }
    plan.kind = PlanKind::Try;
    if (record.tried.empty()) {
        budget_.earn(record.route.customer);
    }
    begin(record, *plan.server);
    return plan;
}

void AttemptPlanner::begin(RequestRecord &record, const membership::Vm &server)
{
    record.tried.push_back(server.instance);
    record.running[server.instance] = tools_.suspects->started(server.instance, record.fingerprint, record.position);
    tools_.router->started(server.instance, record.route.customer);
    tools_.metrics->add("attempts_total");
}

std::optional<membership::Vm> AttemptPlanner::move(RequestRecord &record)
{
    const bool isLeaving = !record.tried.empty() && tools_.members->isLeaving(record.tried.back());
    // What is not accepted asks the retry budget, by failed().
    const bool mayMove = record.accepted || isLeaving;
    const suspects::Standing standing = tools_.suspects->standing(record.fingerprint, record.running.size());
    if (!mayMove || standing == suspects::Standing::Convicted || standing == suspects::Standing::Undecided) {
        return std::nullopt;
    }
    auto server = chooseServer(record, standing == suspects::Standing::Suspect);
    if (!server) {
        return std::nullopt;
    }
    record.moves++;
    tools_.metrics->retried(isLeaving ? metrics::RetryReason::ServerLeaving : metrics::RetryReason::StreamBroken);
    begin(record, *server);
    return server;
}

void AttemptPlanner::joined(RequestRecord &record, const membership::Vm &server)
{
    record.running[server.instance] = tools_.suspects->started(server.instance, record.fingerprint, record.position);
    tools_.router->started(server.instance, record.route.customer);
}

void AttemptPlanner::broken(const std::string &instance)
{
    tools_.suspects->serverBroke(instance);
}

void AttemptPlanner::left(RequestRecord &record, const std::string &instance, routing::AttemptEnd end)
{
    close(record, instance, end, suspects::AttemptOutcome::Other);
}

void AttemptPlanner::progressed(RequestRecord &record, std::uint64_t position)
{
    record.accepted = true;
    record.position = position;
    if (record.running.size() == 1) {
        tools_.suspects->progressed(record.running.begin()->second, position);
    }
}

void AttemptPlanner::close(RequestRecord &record, const std::string &instance, routing::AttemptEnd end, suspects::AttemptOutcome outcome)
{
    const auto found = record.running.find(instance);
    if (found == record.running.end()) {
        return;
    }
    tools_.router->finished(instance, end, record.route.customer);
    tools_.suspects->finished(found->second, outcome);
    record.running.erase(found);
}

void AttemptPlanner::ended(RequestRecord &record, const std::string &instance, routing::AttemptEnd end)
{
    const bool isWhole = end == routing::AttemptEnd::Answered;
    close(record, instance, end, isWhole ? suspects::AttemptOutcome::Whole : suspects::AttemptOutcome::Other);
}

std::size_t AttemptPlanner::serversLeft(const RequestRecord &record) const
{
    const std::size_t live = tools_.router->liveServers(record.route.role, record.route.name);
    std::size_t used = 0;
    for (const std::string &instance : record.tried) {
        const membership::Vm *vm = tools_.members->find(instance);
        used += vm && vm->state == membership::VmState::Live ? 1 : 0;
    }
    const std::size_t left = live - std::min(live, used);
    return left == 0 && record.accepted && live > 1 ? 1 : left;
}

AttemptPlan AttemptPlanner::failed(RequestRecord &record, const std::string &instance, Evidence evidence)
{
    const std::string server = instance.empty() ? record.tried.back() : instance;
    const bool isLeaving = tools_.members->isLeaving(server);
    if (isLeaving && mayHaveRun(evidence)) {
        evidence = Evidence::Leaving;
    }
    record.mayHaveRun = record.mayHaveRun || mayHaveRun(evidence);
    const auto outcome = evidence == Evidence::Broken ? suspects::AttemptOutcome::Broken : suspects::AttemptOutcome::Other;
    close(record, server, evidence == Evidence::Refused ? routing::AttemptEnd::Refused : routing::AttemptEnd::Failed, outcome);
    if (const membership::Vm *vm = tools_.members->find(server); vm && evidence != Evidence::Refused) {
        record.route.avoidZones.push_back(vm->zone);
    }
    if (evidence == Evidence::NotSent) {
        tools_.members->reportUnreachable(server);
    }
    RetryQuestion question;
    question.attempts = record.tried.size() - record.moves;
    if (tools_.suspects->standing(record.fingerprint) != suspects::Standing::Trusted) {
        // The bound on crashes limits it. Told to come back, its caller would only take it to another VM.
        question.attempts = std::min(question.attempts, MostAttempts - 1);
    }
    question.evidence = evidence;
    question.idempotent = record.idempotent;
    question.accepted = record.accepted;
    question.serversLeft = serversLeft(record);
    if (record.deadline) {
        question.timeLeft = *record.deadline - tools_.clock->now();
    }
    const RetryDecision decision = decideRetry(question, budget_, {record.route.customer, record.route.urgency == routing::Urgency::Urgent});
    const bool wantedRetry = decision.action == RetryAction::RetryNow || decision.refusalReason == metrics::RefusalReason::NoBackend;
    if (wantedRetry) {
        // Also when only a server was wanting, so that the counters tell what the attempts died of.
        tools_.metrics->retried(retryReason(evidence));
    }
    if (decision.action == RetryAction::GiveUp) {
        return giveUp(decision.refusalReason, messageOf(decision.refusalReason), decision.retryAfter);
    }
    AttemptPlan plan;
    plan.kind = PlanKind::Wait;
    return plan;
}

} // namespace cardamomlift::retry
