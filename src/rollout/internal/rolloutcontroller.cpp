#include "rollout/rolloutcontroller.h"

#include <algorithm>
#include <set>

namespace cardamomlift::rollout {

namespace {

using eventlog::Attribute;
using eventlog::Event;

constexpr Duration TickPeriod = std::chrono::milliseconds(250);
/// Spans that are judged beside the whole: a version that turns bad late is told by the last seconds.
constexpr Duration ShortSpan = std::chrono::seconds(2);
constexpr Duration LongSpan = std::chrono::seconds(5);
/// A step whose answer was lost may still be done for some seconds; it is tried again on the same condition after this.
constexpr Duration WriteAgainAfter = std::chrono::milliseconds(800);

} // namespace

RolloutController::RolloutController(ControllerTools tools)
    : tools_(std::move(tools))
{
}

std::shared_ptr<RolloutController> RolloutController::start(ControllerTools tools)
{
    std::shared_ptr<RolloutController> controller(new RolloutController(std::move(tools)));
    RolloutController *raw = controller.get();
    raw->timer_ = raw->tools_.loop->every(TickPeriod, [raw] { raw->tick(); });
    return controller;
}

RolloutController::~RolloutController()
{
    tools_.loop->cancel(timer_);
}

void RolloutController::tick()
{
    const auto storeNow = tools_.storeNow();
    if (!storeNow || !tools_.lease->isHeld()) {
        watched_.clear();
        return;
    }
    std::set<std::string> services;
    for (const auto &[service, order] : tools_.orders->all()) {
        services.insert(service);
    }
    for (const std::string &service : tools_.agent->servicesWithRecord()) {
        services.insert(service);
    }
    for (const std::string &service : services) {
        look(service, *storeNow);
    }
}

Verdict RolloutController::verdict(const std::string &service, Watched &watched) const
{
    const TimePoint now = tools_.loop->now();
    RolloutOutcomes all = tools_.agent->outcomes(service);
    while (watched.snapshots.size() > 1 && now - watched.snapshots[1].at >= LongSpan) {
        watched.snapshots.pop_front();
    }
    std::vector<RolloutOutcomes> recent;
    const auto shortFrom =
        std::find_if(watched.snapshots.rbegin(), watched.snapshots.rend(), [now](const Snapshot &snapshot) { return now - snapshot.at >= ShortSpan; });
    if (shortFrom != watched.snapshots.rend()) {
        recent.push_back(since(all, shortFrom->outcomes));
        recent.push_back(since(all, watched.snapshots.front().outcomes));
    }
    Verdict result = evaluateTrial(all, recent);
    watched.snapshots.push_back({now, std::move(all)});
    return result;
}

void RolloutController::look(const std::string &service, Duration storeNow)
{
    const Order *order = tools_.orders->find(service);
    const Record *record = tools_.agent->record(service);
    Watched &watched = watched_[service];
    if (order && watched.orderId != order->id) {
        watched.orderId = order->id;
        watched.snapshots.clear();
    }
    PlanInput input;
    input.order = order;
    input.record = record;
    input.isRecordLost = tools_.agent->isRecordLost(service);
    input.storeNow = storeNow;
    if (record && !isOver(record->phase)) {
        input.verdict = verdict(service, watched);
    }
    input.openAtOtherVersions = tools_.agent->openAtOtherVersions(service);
    const std::vector<std::string> versions = versionsOf(service);
    input.versions = versions;
    auto next = nextRecord(input);
    if (!next || watched.isWriting) {
        return;
    }
    const rows::StoreVersion on = record ? record->rowVersion : rows::StoreVersion();
    const bool waitsForNews = watched.triedOn == on && tools_.loop->now() - watched.writtenAt < WriteAgainAfter;
    if (!waitsForNews) {
        watched.triedOn = on;
        write(service, std::move(*next), input.verdict);
    }
}

std::vector<std::string> RolloutController::versionsOf(const std::string &service) const
{
    std::set<std::string> versions;
    for (const auto &[instance, known] : tools_.directory->all()) {
        if (known->server.service == service) {
            versions.insert(known->server.version);
        }
    }
    return {versions.begin(), versions.end()};
}

void RolloutController::write(const std::string &service, Record record, const Verdict &verdict)
{
    // NOTE Asked right before the write: a holder that was suspended must not take a step.
    if (!tools_.lease->isHeld()) {
        return;
    }
    Watched &watched = watched_[service];
    watched.isWriting = true;
    watched.writtenAt = tools_.loop->now();
    rows::RowWrite row;
    row.table = RecordsTable;
    row.key = service;
    row.value = encodeRecord(record);
    row.isConditional = true;
    row.expectedVersion = watched.triedOn;
    rows::RowWrite status = tools_.format.writeStatus(service, record.toVersion, reportedState(record.phase));
    tools_.store->write({std::move(row), std::move(status)}, [weak = weak_from_this(), record, verdict](const rows::WriteResult &result) {
        const auto self = weak.lock();
        if (!self) {
            return;
        }
        self->watched_[record.service].isWriting = false;
        const bool isWritten = result.outcome == rows::WriteOutcome::Written;
        self->tools_.log->write(Event::RolloutStep,
            {{Attribute::Service, record.service},
                {Attribute::Software, record.toVersion},
                {Attribute::Order, static_cast<std::int64_t>(record.orderId.number)},
                {Attribute::Outcome, phaseName(record.phase)},
                {Attribute::Reason, isWritten ? "written" : "not_written"},
                {Attribute::Count, static_cast<std::int64_t>(verdict.trialSends)},
                {Attribute::Failed, static_cast<std::int64_t>(verdict.trialBad)},
                {Attribute::Expected, static_cast<std::int64_t>(verdict.expectedBad)},
                {Attribute::Answered, static_cast<std::int64_t>(verdict.baselineSends)},
                {Attribute::Score, static_cast<std::int64_t>(verdict.score)},
                {Attribute::Fence, static_cast<std::int64_t>(self->tools_.lease->fence())}});
    });
}

} // namespace cardamomlift::rollout
