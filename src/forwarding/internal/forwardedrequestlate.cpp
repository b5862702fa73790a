#include "balancing/choose.h"
#include "forwarding/internal/forwardedrequest.h"
#include "forwarding/internal/forwardingconstants.h"
#include "stragglers/stragglerrules.h"

#include <fmt/format.h>

#include <algorithm>

namespace cardamomlift::forwarding {

namespace {

using eventlog::Attribute;
using eventlog::Event;
using stragglers::RunDecision;

/// A run must be behind in so many checks in a row, and in one more for half of the runs: servers are slow for a moment, and the loads
/// that other VMs report should cover the runs that have just moved.
constexpr int MinChecks = 2;
/// Other servers are looked at again after this time.
constexpr Duration LookPeriod = std::chrono::seconds(1);
/// A copy takes longer between failure domains.
constexpr int CrossZoneFactor = 2;
/// Until answers have shown how long a prompt takes.
constexpr Duration UsualResumePause = std::chrono::milliseconds(400);

std::int64_t percent(double factor)
{
    return static_cast<std::int64_t>(factor * 100);
}

} // namespace

bool ForwardedRequest::mayLeaveServer() const
{
    const bool isRunning = !finished_ && !move_ && attempt_ && attempt_->isEventStream && attempt_->eventsTimed > 0;
    if (!tools_.paceOf || !isRunning || late_.hasLeft || !kvSource_.empty() || splitter_.lastId().empty() || !splitter_.canResume()) {
        return false;
    }
    return route_->isResumable ? mayRunAgain() && runs_ + 1 < route_->maxAttempts : canMoveKv();
}

stragglers::RunProgress ForwardedRequest::runProgress() const
{
    stragglers::RunProgress progress;
    progress.gaps = attempt_->gaps;
    progress.events = splitter_.eventCount();
    progress.eventsLeft = stragglers::eventsLeft(forwarder_.stragglers().expectedEvents(service_, request_.outputTokens), progress.events);
    progress.waited = tools_.loop->now() - attempt_->lastEventAt;
    progress.gapGoal = route_->eventGapGoal;
    progress.timeLeft = timeLeft();
    return progress;
}

bool ForwardedRequest::isBehind()
{
    const bool isBehindNow = mayLeaveServer() && stragglers::needOf(runProgress(), {}) != stragglers::RunNeed::None;
    late_.checks = isBehindNow ? late_.checks + 1 : 0;
    return late_.checks >= MinChecks + static_cast<int>(salt() & 1U) && tools_.loop->now() >= late_.nextLookAt;
}

Duration ForwardedRequest::resumePause() const
{
    const auto model = tools_.pace ? tools_.pace->firstByteModel(service_) : std::nullopt;
    if (!model || model->tokensPerSecond <= 0) {
        return UsualResumePause;
    }
    const double seconds = static_cast<double>(request_.promptTokens) / model->tokensPerSecond;
    return model->base + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

stragglers::MoveTarget ForwardedRequest::moveTargetOf(const directory::KnownServer &known, const directory::BackendServer &source) const
{
    const balancing::Candidate candidate = candidateOf(known, {}, 0);
    stragglers::MoveTarget target;
    target.server = known.hash;
    target.pace = tools_.paceOf(known.hash, service_);
    target.openRequests = balancing::estimatedOpenRequests(candidate.load, {}, tools_.loop->now());
    target.slots = known.server.slots;
    target.takenLately = forwarder_.stragglers().takenLately(known.hash);
    target.isInOwnZone = known.server.zone == source.zone;
    const Duration copy = forwarder_.stragglers().expectedPause() * (target.isInOwnZone ? 1 : CrossZoneFactor);
    target.pause = route_->isResumable ? resumePause() : copy;
    return target;
}

// A server that has said nothing on any connection is left to the rule for silent servers: it may be out of reach, and could not be told to
// stop the run. One that leaves is left in time.
void ForwardedRequest::leaveSlowServer()
{
    if (!mayLeaveServer() || !forwarder_.stragglers().mayMove()) {
        return;
    }
    const directory::KnownServer &source = *attempt_->server;
    const auto known = tools_.directory->find(source.server.instance);
    late_.nextLookAt = tools_.loop->now() + LookPeriod;
    if (isServerSilent() || !known || known->isLeaving) {
        return;
    }
    // What the run keeps in memory fits its own software only.
    if (!route_->isResumable) {
        origin_ = origins::softwareId(source.server.service, source.server.version);
    }
    Choice counted;
    const auto usable = tools_.directory->usable(service_);
    const auto servers = eligibleServers(usable, VersionPick::Usual, counted);
    std::vector<stragglers::MoveTarget> targets;
    std::vector<const directory::KnownServer *> others;
    for (const directory::KnownServer *server : servers) {
        const bool isUnfit = server->hash == source.hash || server->missingSince || tools_.outliers->isOutlier(server->hash, service_);
        if (!isUnfit && !tools_.pool->hasFailedToConnect(server->server.instance)) {
            targets.push_back(moveTargetOf(*server, source.server));
            others.push_back(server);
        }
    }
    const double paceHere = tools_.paceOf(source.hash, service_);
    const auto chosen = stragglers::chooseTarget(targets, paceHere, salt(), {});
    const stragglers::MoveTarget *target = chosen ? &targets[*chosen] : nullptr;
    const stragglers::RunProgress progress = runProgress();
    const RunDecision decision = stragglers::decide(progress, paceHere, target, {});
    if (decision != RunDecision::Move) {
        logBehind(stragglers::decisionName(decision), progress, paceHere, target);
        return;
    }
    if (!takeRetry()) {
        logBehind("no_retry_left", progress, paceHere, target);
        return;
    }
    logBehind(route_->isResumable ? "resume" : "move", progress, paceHere, target);
    late_.hasLeft = true;
    late_.lastEventAt = attempt_->lastEventAt;
    late_.ticket = forwarder_.stragglers().begin(target->server);
    const auto to = tools_.directory->find(others[*chosen]->server.instance);
    if (route_->isResumable) {
        resumeLateRun(to);
    } else {
        moveLateRun(to);
    }
}

void ForwardedRequest::moveLateRun(const directory::ServerPtr &to)
{
    move_ = Move();
    move_->from = attempt_->server;
    move_->to = to;
    move_->isOfLateRun = true;
    move_->stopsRun = false;
    move_->isFramed = http1::framingOf(attempt_->head) != http1::Framing::Connection;
    callMove();
}

// The server that is left may be chosen again, if all others fail.
void ForwardedRequest::resumeLateRun(const directory::ServerPtr &to)
{
    runs_++;
    logAttempt("behind");
    endAttempt(false);
    splitter_.dropIncompleteEvent();
    if (!checkCrashes()) {
        return;
    }
    tools_.metrics->retried(metrics::RetryReason::ServerSlow);
    Choice choice;
    choice.server = to;
    choice.candidates = 1;
    const auto matches = tools_.prefixes->matches(prefixes_);
    choice.cachedTokens = prefixindex::matchedTokens(matches, to->hash);
    planPrefill(choice, matches);
    countSend(to->server.instance);
    send(choice);
}

// The first event at another server has come, so the source of a move no longer holds the newest state of the run.
void ForwardedRequest::notePauseOfMove()
{
    const bool isMoved = late_.lastEventAt && attempt_->eventsBefore > 0;
    if (!isMoved) {
        return;
    }
    if (!route_->isResumable) {
        forwarder_.stragglers().notePause(tools_.loop->now() - *late_.lastEventAt);
    }
    late_.lastEventAt.reset();
    late_.returnTo.reset();
    late_.ticket.reset();
}

void ForwardedRequest::logBehind(
    std::string_view decision, const stragglers::RunProgress &progress, double paceHere, const stragglers::MoveTarget *target) const
{
    tools_.metrics->add(fmt::format("runs_behind_total{{outcome=\"{}\"}}", decision));
    tools_.log->write(Event::RunBehind,
        {{Attribute::Request, request_.id},
            {Attribute::Route, route_->name},
            {Attribute::Server, attempt_->server->server.instance},
            {Attribute::Outcome, decision},
            {Attribute::Events, static_cast<std::int64_t>(progress.events)},
            {Attribute::EventsLeft, static_cast<std::int64_t>(progress.eventsLeft)},
            {Attribute::GapMs, toMilliseconds(progress.gaps.meanPause)},
            {Attribute::WaitMs, toMilliseconds(progress.waited)},
            {Attribute::GoalMs, toMilliseconds(progress.gapGoal)},
            {Attribute::PacePercent, percent(paceHere)},
            {Attribute::TargetPacePercent, target ? percent(target->pace) : std::int64_t(-1)},
            {Attribute::TookMs, target ? toMilliseconds(target->pause) : std::int64_t(-1)},
            {Attribute::LeftMs, toMilliseconds(progress.timeLeft)}});
}

} // namespace cardamomlift::forwarding
