#include "suspects/routesuspecttracker.h"

#include <fmt/format.h>

#include <algorithm>

namespace cardamomlift::suspects {

namespace {

using eventlog::Attribute;
using eventlog::Event;

/// What a VM has seen is in its statuses for this long, so that others miss it only if all of these are lost.
constexpr Duration ShareTime = std::chrono::seconds(5);
/// Answers that clear requests and parts are shared for this long. They come in hundreds when many servers crash, and one that is missed only
/// keeps a request waiting for the next answer.
constexpr Duration AnswerShareTime = std::chrono::milliseconds(1500);
/// Bytes received this long after a crash were not in transit when the server crashed: the server is alive.
constexpr Duration AliveMargin = std::chrono::milliseconds(500);
/// A request that was answered this short a time before a crash is not its cause.
constexpr Duration RequestAnswerMemory = std::chrono::seconds(2);
/// A part that this VM has seen answered this short a time before a crash is not reported with it: it is in nearly all requests.
constexpr Duration RecentAnswer = std::chrono::seconds(1);
/// Crashes not older than this are shared again, whichever VM saw them, while a request has to wait because of them: a VM that was
/// started meanwhile would run it. Less than UnconfirmedRetention, so that VMs do not keep a crash alive by sharing it.
constexpr Duration MaxResharedAge = std::chrono::seconds(10);
/// A server whose entry is gone so long after a sign of its crash has crashed then. The platform removes the entry of a silent server some seconds later.
constexpr Duration PossibleCrashTime = std::chrono::seconds(10);
constexpr std::size_t MaxPossibleRuns = 256;
constexpr std::size_t MaxWaitingRequests = 16;
/// Bounds on one status.
constexpr std::size_t MaxSharedRuns = 256;
constexpr std::size_t MaxSharedCleared = 64;
constexpr std::size_t MaxSharedAlive = 16;
constexpr std::size_t MaxSharedBlocked = 32;
constexpr std::size_t MaxSharedAnswered = 256;
constexpr std::size_t MaxSharedParts = 1024;
/// Parts of one prompt. Of more, all VMs take the same ones.
constexpr std::size_t MaxPartsOfRun = 64;
/// A block that ends sooner is not shared: it ends a little sooner at some VMs than at others, which would start it anew there.
constexpr Duration MinSharedBlock = std::chrono::seconds(2);

template<class T>
void keepNewest(std::vector<T> &entries, std::size_t maxCount)
{
    if (entries.size() > maxCount) {
        entries.erase(entries.begin(), entries.end() - static_cast<std::ptrdiff_t>(maxCount));
    }
}

} // namespace

RouteSuspectTracker::RouteSuspectTracker(RouteSuspectTools tools)
    : tools_(std::move(tools))
{
}

std::shared_ptr<RouteSuspectTracker> RouteSuspectTracker::create(RouteSuspectTools tools)
{
    return std::shared_ptr<RouteSuspectTracker>(new RouteSuspectTracker(std::move(tools)));
}

const CrashStore &RouteSuspectTracker::store() const
{
    return store_;
}

bool RouteSuspectTracker::hasCrashes() const
{
    return !store_.empty();
}

Judgement RouteSuspectTracker::judge(const RequestTraits &request)
{
    Judgement judgement{stateOfRequest(request.fingerprint), std::nullopt};
    const bool isSuspect = judgement.state == SuspectState::Suspect;
    for (const PartKey part : request.parts) {
        if (const SuspectState state = stateOfPart(part, request.parts); state > judgement.state) {
            judgement = {state, part};
        }
    }
    if (isSuspect && judgement.state == SuspectState::Suspect) {
        logAdmitted(request);
    }
    return judgement;
}

void RouteSuspectTracker::logAdmitted(const RequestTraits &request) const
{
    const TimePoint now = tools_.loop->now();
    const CrashEvidence evidence = store_.evidenceAgainst(request.fingerprint, now);
    const std::string fingerprint = fmt::format("{:016x}", request.fingerprint);
    tools_.metrics->add("suspects_admitted_total");
    tools_.log->write(Event::SuspectAdmitted,
        {{Attribute::Request, request.id},
            {Attribute::Fingerprint, fingerprint},
            {Attribute::Count, static_cast<std::int64_t>(evidence.crashes)},
            {Attribute::Confirmed, static_cast<std::int64_t>(evidence.confirmedCrashes)},
            {Attribute::SoleSuspect, static_cast<std::int64_t>(evidence.soleSuspectCrashes)},
            {Attribute::Successive, static_cast<std::int64_t>(evidence.successiveCrashes)},
            {Attribute::AgeMs, toMilliseconds(now - evidence.latest)}});
}

SuspectState RouteSuspectTracker::stateOfRequest(Fingerprint fingerprint)
{
    const TimePoint now = tools_.loop->now();
    SuspectState state = store_.stateOf(fingerprint, now);
    if (state == SuspectState::Undecided) {
        review();
        state = store_.stateOf(fingerprint, now);
    }
    if (state == SuspectState::Blocked) {
        block(fingerprint);
    } else if (state == SuspectState::Undecided) {
        noteHeld(fingerprint, now);
    }
    return state;
}

SuspectState RouteSuspectTracker::stateOfPart(PartKey part, std::span<const PartKey> ofRequest)
{
    const TimePoint now = tools_.loop->now();
    SuspectState state = store_.stateOfPart(part, ofRequest, now);
    if (state == SuspectState::Undecided) {
        review();
        state = store_.stateOfPart(part, ofRequest, now);
    }
    if (state == SuspectState::Blocked) {
        blockPart(part, ofRequest);
    } else if (state == SuspectState::Undecided) {
        notePartHeld(part, ofRequest);
    }
    return state;
}

void RouteSuspectTracker::notePartHeld(PartKey part, std::span<const PartKey> ofRequest)
{
    const bool isKnown = partsHeldAt_.contains(part);
    if (partsHeldAt_.size() >= MaxWaitingRequests && !isKnown) {
        return;
    }
    partsHeldAt_[part] = tools_.loop->now();
    if (!isKnown) {
        logPart(Event::PartSuspected, part, ofRequest, Duration(0));
    }
}

void RouteSuspectTracker::blockPart(PartKey part, std::span<const PartKey> ofRequest)
{
    const Duration length = store_.partBlocks().nextLength(part);
    if (!store_.partBlocks().block(part, tools_.loop->now() + length)) {
        return;
    }
    logPart(Event::PartBlocked, part, ofRequest, length);
    tools_.metrics->add("parts_blocked_total");
}

void RouteSuspectTracker::logPart(Event event, PartKey part, std::span<const PartKey> ofRequest, Duration left) const
{
    const TimePoint now = tools_.loop->now();
    const PartEvidence evidence = store_.evidenceAgainstPart(part, ofRequest, now);
    const auto answeredAt = store_.lastAnswer(part);
    const std::string id = fmt::format("{:x}", part);
    tools_.log->write(event,
        {{Attribute::Parts, id},
            {Attribute::Source, "evidence"},
            {Attribute::LeftMs, toMilliseconds(left)},
            {Attribute::Count, static_cast<std::int64_t>(evidence.crashes.crashes)},
            {Attribute::Confirmed, static_cast<std::int64_t>(evidence.crashes.confirmedCrashes)},
            {Attribute::Requests, static_cast<std::int64_t>(evidence.requests)},
            {Attribute::AnswerAgeMs, answeredAt ? toMilliseconds(now - *answeredAt) : std::int64_t(-1)}});
}

void RouteSuspectTracker::noteHeld(Fingerprint fingerprint, TimePoint now)
{
    if (heldAt_.size() < MaxWaitingRequests || heldAt_.contains(fingerprint)) {
        heldAt_[fingerprint] = now;
    }
}

void RouteSuspectTracker::block(Fingerprint fingerprint)
{
    const Duration length = store_.nextBlockLength(fingerprint);
    if (!store_.block(fingerprint, tools_.loop->now() + length)) {
        return;
    }
    const std::string id = fmt::format("{:016x}", fingerprint);
    tools_.log->write(Event::RequestBlocked,
        {{Attribute::Fingerprint, id},
            {Attribute::Source, "evidence"},
            {Attribute::LeftMs, toMilliseconds(length)},
            {Attribute::Count, static_cast<std::int64_t>(store_.crashes())}});
    tools_.metrics->add("requests_blocked_total");
}

void RouteSuspectTracker::noteConnectionBroken(const std::string &instance, const Progress &request)
{
    const auto known = tools_.directory->find(instance);
    // A server that leaves ends its connections, and so does one whose entry is gone already.
    if (!known || known->isLeaving || known->missingSince) {
        logNotCounted(instance, request, known && known->isLeaving ? "leaving" : "unlisted");
        return;
    }
    const TimePoint now = tools_.loop->now();
    const bool isKnown = store_.crashedAt(instance).has_value();
    const Progress report = withPossibleCauses(request, now);
    store_.addUnconfirmedCrash(instance, now, std::span(&report, 1));
    brokenRuns_.push_back({now, {instance, now, report}});
    keepNewest(brokenRuns_, MaxSharedRuns);
    clearIfAnswered(std::span(&request, 1), now);
    if (!isKnown) {
        logCrash(Event::ServerCrashSuspected, instance, now, "connection");
    }
}

void RouteSuspectTracker::noteRunGivenUp(const std::string &instance, const Progress &request)
{
    const auto known = tools_.directory->find(instance);
    if (!known || known->isLeaving || known->missingSince) {
        return;
    }
    const Progress report = withPossibleCauses(request, tools_.loop->now());
    addPossible(instance, tools_.loop->now(), std::span(&report, 1));
}

void RouteSuspectTracker::addPossible(const std::string &instance, TimePoint at, std::span<const Progress> inFlight)
{
    for (const Progress &request : inFlight) {
        // Several VMs report one crash, each several times.
        const bool isKnown = std::any_of(possible_.begin(), possible_.end(), [&](const BrokenRun &run) {
            return run.instance == instance && run.request.fingerprint == request.fingerprint;
        });
        if (!isKnown) {
            possible_.push_back({instance, at, request});
        }
    }
    keepNewest(possible_, MaxPossibleRuns);
}

void RouteSuspectTracker::reviewPossible()
{
    const TimePoint now = tools_.loop->now();
    std::erase_if(possible_, [&](const BrokenRun &run) { return now - run.crashedAt > PossibleCrashTime || isLeaving(run.instance); });
    std::vector<BrokenRun> open;
    for (BrokenRun &run : possible_) {
        if (isGone(run.instance, run.crashedAt)) {
            countPossible(std::move(run));
        } else {
            open.push_back(std::move(run));
        }
    }
    possible_ = std::move(open);
}

void RouteSuspectTracker::countPossible(BrokenRun run)
{
    if (!store_.crashedAt(run.instance)) {
        logCrash(Event::ServerCrashConfirmed, run.instance, run.crashedAt, "list");
    }
    store_.addCrash(run.instance, run.crashedAt, std::span(&run.request, 1));
    clearIfAnswered(std::span(&run.request, 1), run.crashedAt);
    brokenRuns_.push_back({tools_.loop->now(), std::move(run)});
    keepNewest(brokenRuns_, MaxSharedRuns);
}

void RouteSuspectTracker::logNotCounted(const std::string &instance, const Progress &request, std::string_view reason) const
{
    const std::string fingerprint = fmt::format("{:016x}", request.fingerprint);
    tools_.metrics->add(fmt::format("crashes_not_counted_total{{reason=\"{}\"}}", reason));
    tools_.log->write(Event::CrashNotCounted, {{Attribute::Server, instance}, {Attribute::Fingerprint, fingerprint}, {Attribute::Reason, reason}});
}

bool RouteSuspectTracker::clear(Fingerprint request, std::string_view source)
{
    const std::size_t before = store_.crashesOf(request);
    if (!store_.clear({request, CompleteAnswer})) {
        return false;
    }
    const std::size_t left = store_.crashesOf(request);
    const std::string fingerprint = fmt::format("{:016x}", request);
    tools_.metrics->add("requests_cleared_total");
    tools_.log->write(Event::RequestCleared,
        {{Attribute::Fingerprint, fingerprint},
            {Attribute::Source, source},
            {Attribute::Count, static_cast<std::int64_t>(before - left)},
            {Attribute::Left, static_cast<std::int64_t>(left)}});
    return true;
}

// Parts that were answered since the crash, or just before it, are no cause of it. The other VMs are told of earlier answers.
Progress RouteSuspectTracker::withPossibleCauses(const Progress &request, TimePoint crashedAt)
{
    Progress report{request.fingerprint, request.position, request.ranFor, {}};
    std::vector<PartKey> answered;
    for (const PartKey part : request.parts) {
        const auto answeredAt = store_.lastAnswer(part);
        if (answeredAt && *answeredAt >= crashedAt - AnswerMemory) {
            answered.push_back(part);
        }
        if ((!answeredAt || *answeredAt < crashedAt - RecentAnswer) && report.parts.size() < MaxPartsOfRun) {
            report.parts.push_back(part);
        }
    }
    shareAnswered(answered);
    return report;
}

void RouteSuspectTracker::noteServerActive(const std::string &instance)
{
    activeAt_[instance] = tools_.loop->now();
}

void RouteSuspectTracker::noteWholeAnswer(Fingerprint request)
{
    answeredAt_[request] = tools_.loop->now();
    if (!store_.empty() && clear(request, "answer")) {
        shareCleared(request);
    }
}

void RouteSuspectTracker::noteAnswered(std::span<const PartKey> parts)
{
    const TimePoint now = tools_.loop->now();
    store_.notePromptAnswered(now);
    shareAnswered(store_.noteAnswered(parts, now, now));
}

void RouteSuspectTracker::shareAnswered(std::span<const PartKey> parts)
{
    for (const PartKey part : parts) {
        std::erase_if(answered_, [part](const auto &shared) { return shared.value == part; });
        answered_.push_back({tools_.loop->now(), part});
    }
    keepNewest(answered_, MaxSharedAnswered);
}

void RouteSuspectTracker::shareCleared(Fingerprint request)
{
    cleared_.push_back({tools_.loop->now(), request});
    keepNewest(cleared_, MaxSharedCleared);
}

void RouteSuspectTracker::clearIfAnswered(std::span<const Progress> inFlight, TimePoint crashedAt)
{
    for (const Progress &request : inFlight) {
        const auto answered = answeredAt_.find(request.fingerprint);
        const bool isAnswered = answered != answeredAt_.end() && answered->second >= crashedAt - RequestAnswerMemory;
        if (isAnswered && clear(request.fingerprint, "earlier_answer")) {
            shareCleared(request.fingerprint);
        }
    }
}

CrashUpdate RouteSuspectTracker::updateToShare()
{
    forgetOld();
    const TimePoint now = tools_.loop->now();
    CrashUpdate update;
    shareCrashes(update);
    for (const Shared<Fingerprint> &request : cleared_) {
        update.cleared.push_back({request.value, CompleteAnswer, Duration(0), {}});
    }
    for (const Shared<std::string> &server : alive_) {
        if (const auto active = activeAt_.find(server.value); active != activeAt_.end()) {
            update.alive.push_back({server.value, now - active->second});
        }
    }
    for (const auto &[fingerprint, until] : store_.blockedRequests()) {
        if (update.blocked.size() < MaxSharedBlocked && until - now >= MinSharedBlock) {
            update.blocked.push_back({fingerprint, until - now});
        }
    }
    shareParts(update);
    return update;
}

void RouteSuspectTracker::shareCrashes(CrashUpdate &update) const
{
    const TimePoint now = tools_.loop->now();
    std::size_t partsLeft = MaxSharedParts;
    for (const Shared<BrokenRun> &run : brokenRuns_) {
        const auto found =
            std::find_if(update.crashes.begin(), update.crashes.end(), [&](const auto &report) { return report.instance == run.value.instance; });
        CrashUpdate::CrashReport &report =
            found != update.crashes.end() ? *found : update.crashes.emplace_back(CrashUpdate::CrashReport{run.value.instance, now - run.value.crashedAt, {}});
        Progress &request = report.inFlight.emplace_back(run.value.request);
        request.parts.resize(std::min(request.parts.size(), partsLeft));
        partsLeft -= request.parts.size();
    }
    const auto add = [&update](const std::vector<CrashUpdate::CrashReport> &reports) {
        update.crashes.insert(update.crashes.end(), reports.begin(), reports.end());
    };
    for (const auto &[fingerprint, heldAt] : heldAt_) {
        add(store_.reportsAbout(fingerprint, MaxResharedAge, now));
    }
    for (const auto &[part, heldAt] : partsHeldAt_) {
        add(store_.reportsAboutPart(part, MaxResharedAge, now));
    }
}

void RouteSuspectTracker::shareParts(CrashUpdate &update) const
{
    const TimePoint now = tools_.loop->now();
    for (const Shared<PartKey> &part : answered_) {
        if (const auto answeredAt = store_.lastAnswer(part.value)) {
            update.answeredParts.push_back({part.value, now - *answeredAt});
        }
    }
    for (const auto &[part, until] : store_.partBlocks().entries()) {
        if (update.blockedParts.size() < MaxSharedBlocked && until - now >= MinSharedBlock) {
            update.blockedParts.push_back({part, until - now});
        }
    }
    if (!update.crashes.empty() && store_.promptAnsweredAt() != TimePoint()) {
        update.sincePromptAnswered = now - store_.promptAnsweredAt();
    }
}

void RouteSuspectTracker::applyPeerUpdate(const std::string &source, const CrashUpdate &update)
{
    const TimePoint now = tools_.loop->now();
    for (const CrashUpdate::AnsweredPart &answered : update.answeredParts) {
        store_.noteAnswered(std::span(&answered.part, 1), now - answered.age, now);
    }
    if (update.sincePromptAnswered) {
        store_.notePromptAnswered(now - *update.sincePromptAnswered);
    }
    for (const CrashUpdate::CrashReport &report : update.crashes) {
        applyCrashReport(source, report);
    }
    for (const Progress &progress : update.cleared) {
        // VMs of other builds also tell how far an answer has come.
        if (progress.position == CompleteAnswer) {
            clear(progress.fingerprint, source);
        }
    }
    for (const CrashUpdate::AliveServer &server : update.alive) {
        const auto crashedAt = unconfirmedCrashOf(server.instance);
        if (crashedAt && now - server.age >= *crashedAt + AliveMargin) {
            retract(server.instance, *crashedAt, source);
        }
    }
    applyBlocks(source, update);
}

void RouteSuspectTracker::applyCrashReport(const std::string &source, const CrashUpdate::CrashReport &report)
{
    const TimePoint at = tools_.loop->now() - report.age;
    std::vector<Progress> inFlight;
    for (const Progress &request : report.inFlight) {
        inFlight.push_back(withPossibleCauses(request, at));
    }
    if (isAlive(report.instance, at)) {
        shareAlive(report.instance);
        addPossible(report.instance, at, inFlight);
        return;
    }
    const bool isKnown = store_.crashedAt(report.instance).has_value();
    if (store_.addUnconfirmedCrash(report.instance, at, inFlight) && !isKnown) {
        logCrash(Event::ServerCrashSuspected, report.instance, at, source);
    }
    clearIfAnswered(report.inFlight, at);
}

// A part that crashes servers is in no answer, so one that came after the block had begun shows that it does not.
bool RouteSuspectTracker::isRefuted(const CrashUpdate::BlockedPart &blocked) const
{
    const Duration blockedFor = std::max(Duration(0), FirstBlockLength - blocked.remaining);
    const auto answeredAt = store_.lastAnswer(blocked.part);
    return answeredAt && *answeredAt > tools_.loop->now() - blockedFor;
}

void RouteSuspectTracker::applyBlocks(const std::string &source, const CrashUpdate &update)
{
    const TimePoint now = tools_.loop->now();
    for (const CrashUpdate::BlockedRequest &request : update.blocked) {
        if (request.remaining < MinSharedBlock || !store_.block(request.fingerprint, now + std::min(request.remaining, MaxBlockLength))) {
            continue;
        }
        const std::string id = fmt::format("{:016x}", request.fingerprint);
        tools_.log->write(
            Event::RequestBlocked, {{Attribute::Fingerprint, id}, {Attribute::Source, source}, {Attribute::LeftMs, toMilliseconds(request.remaining)}});
    }
    for (const CrashUpdate::BlockedPart &blocked : update.blockedParts) {
        if (isRefuted(blocked)) {
            shareAnswered(std::span(&blocked.part, 1));
            continue;
        }
        if (blocked.remaining < MinSharedBlock || !store_.partBlocks().block(blocked.part, now + std::min(blocked.remaining, MaxBlockLength))) {
            continue;
        }
        const std::string id = fmt::format("{:x}", blocked.part);
        tools_.log->write(Event::PartBlocked, {{Attribute::Parts, id}, {Attribute::Source, source}, {Attribute::LeftMs, toMilliseconds(blocked.remaining)}});
    }
}

void RouteSuspectTracker::tick()
{
    review();
    forgetOld();
    store_.expire(tools_.loop->now());
    if (const auto listAge = tools_.directory->listAge(tools_.loop->now())) {
        store_.forgetUnconfirmed(tools_.loop->now() - *listAge - UnconfirmedRetention);
    }
    std::erase_if(activeAt_, [this](const auto &entry) { return !tools_.directory->find(entry.first); });
}

void RouteSuspectTracker::review()
{
    reviewPossible();
    for (const auto &[instance, at] : store_.unconfirmed()) {
        if (isAlive(instance, at)) {
            shareAlive(instance);
            retract(instance, at, "activity");
        } else if (isLeaving(instance)) {
            retract(instance, at, "leaving");
        } else if (isGone(instance, at) && store_.confirm(instance)) {
            logCrash(Event::ServerCrashConfirmed, instance, at, "list");
            tools_.metrics->add("server_crashes_total");
        }
    }
}

void RouteSuspectTracker::forgetOld()
{
    const TimePoint oldest = tools_.loop->now() - ShareTime;
    const auto isOld = [oldest](const auto &shared) {
        return shared.at < oldest;
    };
    const auto isOldAnswer = [oldest = tools_.loop->now() - AnswerShareTime](const auto &shared) {
        return shared.at < oldest;
    };
    std::erase_if(brokenRuns_, isOld);
    std::erase_if(cleared_, isOldAnswer);
    std::erase_if(answered_, isOldAnswer);
    std::erase_if(alive_, isOld);
    std::erase_if(heldAt_, [oldest](const auto &entry) { return entry.second < oldest; });
    std::erase_if(partsHeldAt_, [oldest](const auto &entry) { return entry.second < oldest; });
    std::erase_if(answeredAt_, [now = tools_.loop->now()](const auto &entry) { return now - entry.second > RequestAnswerMemory + ShareTime; });
}

void RouteSuspectTracker::retract(const std::string &instance, TimePoint crashedAt, std::string_view source)
{
    // What was received may have been sent before the crash and read late, by a VM that was starved or frozen, or over a slow link.
    if (!isLeaving(instance)) {
        addPossible(instance, crashedAt, store_.inFlightAt(instance));
    }
    store_.retract(instance);
    std::erase_if(brokenRuns_, [&](const auto &run) { return run.value.instance == instance; });
    logCrash(Event::ServerCrashRetracted, instance, crashedAt, source);
}

void RouteSuspectTracker::shareAlive(const std::string &instance)
{
    std::erase_if(alive_, [&](const auto &shared) { return shared.value == instance; });
    alive_.push_back({tools_.loop->now(), instance});
    keepNewest(alive_, MaxSharedAlive);
}

std::optional<TimePoint> RouteSuspectTracker::unconfirmedCrashOf(const std::string &instance) const
{
    for (const auto &[server, at] : store_.unconfirmed()) {
        if (server == instance) {
            return at;
        }
    }
    return std::nullopt;
}

bool RouteSuspectTracker::isAlive(const std::string &instance, TimePoint crashedAt) const
{
    const auto active = activeAt_.find(instance);
    return active != activeAt_.end() && active->second >= crashedAt + AliveMargin;
}

bool RouteSuspectTracker::isLeaving(const std::string &instance) const
{
    const auto known = tools_.directory->find(instance);
    return known && known->isLeaving;
}

// The list must be known as of a time after the crash: a VM that has just started knows no servers yet.
bool RouteSuspectTracker::isGone(const std::string &instance, TimePoint crashedAt) const
{
    const TimePoint now = tools_.loop->now();
    const auto listAge = tools_.directory->listAge(now);
    return !tools_.directory->find(instance) && listAge && now - *listAge >= crashedAt;
}

void RouteSuspectTracker::logCrash(eventlog::Event event, const std::string &instance, TimePoint at, std::string_view source) const
{
    const auto listAge = tools_.directory->listAge(tools_.loop->now());
    tools_.log->write(event,
        {{Attribute::Server, instance},
            {Attribute::Source, source},
            {Attribute::AgeMs, toMilliseconds(tools_.loop->now() - at)},
            {Attribute::ListVersion, static_cast<std::int64_t>(tools_.directory->listVersion().number)},
            {Attribute::ListAgeMs, listAge ? toMilliseconds(*listAge) : std::int64_t(-1)}});
}

} // namespace cardamomlift::suspects
