#include "suspects/suspecttracker.h"

#include "kernel/log.h"
#include "suspects/crashevidence.h"
#include "suspects/crashupdateformat.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace cardamomlift::suspects {

namespace {

constexpr char Topic[] = "suspects";
/// Updates that arise within this time are sent together.
constexpr Duration FlushDelay = std::chrono::milliseconds(20);
constexpr Duration ExpirePeriod = std::chrono::seconds(10);
/// A token received this long after a crash was not in transit when the server crashed: the server is alive.
constexpr Duration AliveMargin = std::chrono::milliseconds(500);
/// Minimum time between two reports by this VM about the same server.
constexpr Duration ReportInterval = std::chrono::seconds(5);

template<class T>
void append(std::vector<T> &to, const std::vector<T> &from)
{
    to.insert(to.end(), from.begin(), from.end());
}

} // namespace

std::shared_ptr<SuspectTracker> SuspectTracker::create(TrackerTools tools)
{
    std::shared_ptr<SuspectTracker> tracker(new SuspectTracker);
    tracker->tools_ = std::move(tools);
    const std::weak_ptr<SuspectTracker> weak = tracker;
    tracker->tools_.gossip->onRumour(Topic, [weak](const membership::Rumour &rumour) {
        if (const auto self = weak.lock()) {
            self->onRumour(rumour);
        }
    });
    tracker->tools_.members->onChange([weak] {
        if (const auto self = weak.lock()) {
            self->onMembersChanged();
        }
    });
    tracker->tools_.loop->every(ExpirePeriod, [weak] {
        if (const auto self = weak.lock()) {
            self->store_.expire(self->tools_.loop->now());
        }
    });
    return tracker;
}

const CrashStore &SuspectTracker::store() const
{
    return store_;
}

void SuspectTracker::onRemoteCrash(std::function<void(const std::string &instance)> handler)
{
    remoteCrashHandler_ = std::move(handler);
}

bool SuspectTracker::isSettled(Fingerprint fingerprint) const
{
    return store_.empty() || tools_.loop->now() - store_.latestCrash(fingerprint) >= ReportSettleTime;
}

SuspectState SuspectTracker::stateOf(Fingerprint fingerprint, std::size_t ownCopies)
{
    if (store_.empty()) {
        return SuspectState::Trusted;
    }
    const TimePoint now = tools_.loop->now();
    const SuspectState state = store_.stateOf(fingerprint, now);
    if (state == SuspectState::Blocked && store_.block(fingerprint, now + CrashRetention)) {
        partLogger("suspects")->warn("A request crashes servers and is refused from now on. fingerprint={:016x}", fingerprint);
        tools_.metrics->add("convicted_requests_total");
        CrashUpdate update;
        update.blocked.push_back({fingerprint, CrashRetention});
        queueUpdate(std::move(update));
    }
    if (state != SuspectState::Suspect) {
        return state;
    }
    const auto copies = std::count_if(attempts_.begin(), attempts_.end(), [&](const auto &entry) { return entry.second.fingerprint == fingerprint; });
    return static_cast<std::size_t>(copies) > ownCopies ? SuspectState::Undecided : SuspectState::Suspect;
}

std::vector<std::string> SuspectTracker::serversWithSuspects() const
{
    std::vector<std::string> servers;
    if (store_.empty()) {
        return servers;
    }
    for (const auto &[id, attempt] : attempts_) {
        if (attempt.isSuspect) {
            servers.push_back(attempt.instance);
        }
    }
    return servers;
}

AttemptId SuspectTracker::started(const std::string &instance, Fingerprint fingerprint, std::uint64_t position)
{
    const AttemptId id = nextAttempt_++;
    Attempt &attempt = attempts_[id];
    attempt.instance = instance;
    attempt.fingerprint = fingerprint;
    attempt.startedAt = tools_.loop->now();
    attempt.position = position;
    attempt.isSuspect = !store_.empty() && store_.clearingPosition(fingerprint).has_value();
    return id;
}

void SuspectTracker::progressed(AttemptId id, std::uint64_t position)
{
    const auto found = attempts_.find(id);
    if (found == attempts_.end()) {
        return;
    }
    Attempt &attempt = found->second;
    attempt.position = position;
    if (store_.empty()) {
        return;
    }
    if (attempt.storeVersion != store_.version()) {
        attempt.storeVersion = store_.version();
        attempt.clearingPosition = store_.clearingPosition(attempt.fingerprint).value_or(CompleteAnswer);
        const auto crashedAt = store_.crashedAt(attempt.instance);
        attempt.mayRetractCrash = crashedAt && attempt.startedAt < *crashedAt;
    }
    if (position >= attempt.clearingPosition) {
        attempt.isSuspect = false;
        clear({attempt.fingerprint, position});
    }
    if (attempt.mayRetractCrash && tools_.loop->now() - *store_.crashedAt(attempt.instance) >= AliveMargin) {
        // An attempt from before the crash still receives tokens: only some connections broke, and the server is alive.
        attempt.mayRetractCrash = false;
        store_.retract(attempt.instance);
        CrashUpdate update;
        update.alive.push_back({attempt.instance, Duration(0)});
        queueUpdate(std::move(update));
    }
}

void SuspectTracker::finished(AttemptId id, AttemptOutcome outcome)
{
    const auto found = attempts_.find(id);
    if (found == attempts_.end()) {
        return;
    }
    const Attempt attempt = found->second;
    if (outcome == AttemptOutcome::ConnectionBroken) {
        connectionBroken(attempt.instance);
    }
    attempts_.erase(id);
    if (outcome == AttemptOutcome::Completed && !store_.empty()) {
        clear({attempt.fingerprint, CompleteAnswer});
    }
}

void SuspectTracker::connectionBroken(const std::string &instance)
{
    const TimePoint now = tools_.loop->now();
    const auto reported = reported_.find(instance);
    const bool isReported = reported != reported_.end() && now - reported->second < ReportInterval;
    if (isReported || tools_.members->isLeaving(instance)) {
        return;
    }
    std::erase_if(reported_, [now](const auto &entry) { return now - entry.second >= ReportInterval; });
    reported_[instance] = now;
    CrashUpdate::CrashReport report{instance, Duration(0), {}};
    for (const auto &[id, attempt] : attempts_) {
        if (attempt.instance == instance) {
            report.inFlight.push_back({attempt.fingerprint, attempt.position});
        }
    }
    partLogger("suspects")->info("Connections to a server broke; assuming a crash. server={} requests={}", instance, report.inFlight.size());
    tools_.metrics->add("server_crashes_seen_total");
    store_.addCrash(instance, now, report.inFlight);
    CrashUpdate update;
    update.crashes.push_back(std::move(report));
    queueUpdate(std::move(update));
    // Sent without FlushDelay: the same request may reach another VM within milliseconds.
    flush();
}

void SuspectTracker::clear(const Progress &progress)
{
    if (!store_.clear(progress)) {
        return;
    }
    CrashUpdate update;
    update.cleared.push_back(progress);
    queueUpdate(std::move(update));
}

void SuspectTracker::onMembersChanged()
{
    if (store_.empty()) {
        return;
    }
    for (const std::string &instance : store_.crashedInstances()) {
        // The reclaim notice arrived after the connections broke: the server was reclaimed and did not crash.
        if (tools_.members->isLeaving(instance)) {
            store_.retract(instance);
        }
    }
}

void SuspectTracker::onRumour(const membership::Rumour &rumour)
{
    const auto update = readCrashUpdate(rumour.payload, tools_.loop->clock().wallNow());
    if (!update) {
        partLogger("suspects")->warn("Malformed crash update ignored. key={}", rumour.key);
        return;
    }
    merge(*update);
}

void SuspectTracker::merge(const CrashUpdate &update)
{
    const TimePoint now = tools_.loop->now();
    for (const CrashUpdate::CrashReport &crash : update.crashes) {
        const bool isChanged = !tools_.members->isLeaving(crash.instance) && store_.addCrash(crash.instance, now - crash.age, crash.inFlight);
        if (isChanged && remoteCrashHandler_) {
            remoteCrashHandler_(crash.instance);
        }
    }
    for (const Progress &progress : update.cleared) {
        store_.clear(progress);
    }
    for (const CrashUpdate::AliveServer &server : update.alive) {
        store_.retract(server.instance);
    }
    for (const CrashUpdate::BlockedRequest &request : update.blocked) {
        store_.block(request.fingerprint, now + std::min(request.remaining, CrashRetention));
    }
}

void SuspectTracker::queueUpdate(CrashUpdate update)
{
    if (update.empty()) {
        return;
    }
    append(pendingUpdate_.crashes, update.crashes);
    append(pendingUpdate_.cleared, update.cleared);
    append(pendingUpdate_.alive, update.alive);
    append(pendingUpdate_.blocked, update.blocked);
    if (isFlushScheduled_) {
        return;
    }
    isFlushScheduled_ = true;
    tools_.loop->after(FlushDelay, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->flush();
        }
    });
}

void SuspectTracker::flush()
{
    isFlushScheduled_ = false;
    if (pendingUpdate_.empty()) {
        return;
    }
    const WallTime now = tools_.loop->clock().wallNow();
    // NOTE The key includes the time: after a restart under the same name a VM must not reuse a key that its peers already know.
    const std::string key = fmt::format("{}/{}", tools_.members->self(), now.time_since_epoch().count());
    tools_.metrics->add("suspects_rumours_total");
    tools_.gossip->publish(Topic, key, 1, writeCrashUpdate(std::exchange(pendingUpdate_, {}), now), CrashRetention);
}

} // namespace cardamomlift::suspects
