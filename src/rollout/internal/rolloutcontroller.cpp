#include "rollout/rolloutcontroller.h"

#include <algorithm>
#include <set>

namespace cardamomlift::rollout {

namespace {

using eventlog::Attribute;
using eventlog::Event;

constexpr Duration TickPeriod = std::chrono::milliseconds(250);
/// Lengths of the recent periods that are evaluated in addition to the whole trial, to detect a version that turns bad late.
constexpr Duration ShortPeriod = std::chrono::seconds(2);
constexpr Duration LongPeriod = std::chrono::seconds(5);
/// A write whose answer was lost may still take effect for some seconds. It is repeated after this time on the same
/// condition, so that it takes effect only once.
constexpr Duration RetryWriteAfter = std::chrono::milliseconds(800);

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
        services_.clear();
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
        evaluateService(service, *storeNow);
    }
}

Verdict RolloutController::verdict(const std::string &service, ServiceState &state) const
{
    const TimePoint now = tools_.loop->now();
    RolloutOutcomes all = tools_.agent->outcomes(service);
    while (state.snapshots.size() > 1 && now - state.snapshots[1].at >= LongPeriod) {
        state.snapshots.pop_front();
    }
    std::vector<RolloutOutcomes> recent;
    const auto shortFrom =
        std::find_if(state.snapshots.rbegin(), state.snapshots.rend(), [now](const Snapshot &snapshot) { return now - snapshot.at >= ShortPeriod; });
    if (shortFrom != state.snapshots.rend()) {
        recent.push_back(since(all, shortFrom->outcomes));
        recent.push_back(since(all, state.snapshots.front().outcomes));
    }
    Verdict result = evaluateTrial(all, recent);
    state.snapshots.push_back({now, std::move(all)});
    return result;
}

void RolloutController::evaluateService(const std::string &service, Duration storeNow)
{
    const Order *order = tools_.orders->find(service);
    const Record *record = tools_.agent->record(service);
    ServiceState &state = services_[service];
    if (order && state.orderId != order->id) {
        state.orderId = order->id;
        state.snapshots.clear();
    }
    PlanInput input;
    input.order = order;
    input.record = record;
    input.isRecordLost = tools_.agent->isRecordLost(service);
    input.storeNow = storeNow;
    if (record && !isOver(record->phase)) {
        input.verdict = verdict(service, state);
    }
    input.openAtOtherVersions = tools_.agent->openAtOtherVersions(service);
    const std::vector<std::string> versions = knownVersions(service);
    input.versions = versions;
    auto next = nextRecord(input);
    if (!next || state.isWriting) {
        return;
    }
    const rows::StoreVersion rowVersion = record ? record->rowVersion : rows::StoreVersion();
    const bool awaitsRecord = state.lastWriteRowVersion == rowVersion && tools_.loop->now() - state.lastWriteAt < RetryWriteAfter;
    if (!awaitsRecord) {
        state.lastWriteRowVersion = rowVersion;
        write(service, std::move(*next), input.verdict);
    }
}

std::vector<std::string> RolloutController::knownVersions(const std::string &service) const
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
    // NOTE Check right before the write: if this process was suspended, its lease may have expired.
    if (!tools_.lease->isHeld()) {
        return;
    }
    ServiceState &state = services_[service];
    state.isWriting = true;
    state.lastWriteAt = tools_.loop->now();
    rows::RowWrite row;
    row.table = RecordsTable;
    row.key = service;
    row.value = encodeRecord(record);
    row.isConditional = true;
    row.expectedVersion = state.lastWriteRowVersion;
    rows::RowWrite status = tools_.format.writeStatus(service, record.toVersion, reportedState(record.phase));
    tools_.store->write({std::move(row), std::move(status)}, [weak = weak_from_this(), record, verdict](const rows::WriteResult &result) {
        const auto self = weak.lock();
        if (!self) {
            return;
        }
        self->services_[record.service].isWriting = false;
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
