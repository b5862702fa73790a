#include "rollout/rolloutplan.h"

#include <algorithm>

namespace cardamomlift::rollout {

namespace {

/// The time for requests to end at the other versions' servers, which stop without draining: most streams end within four
/// seconds, and long orders leave a quarter of their time.
constexpr Duration LeastMoving = std::chrono::seconds(4);
constexpr int MovingPart = 4;
/// The last word is written this long before the time limit: two lost writes and the time by which the order was seen late.
constexpr Duration WriteMargin = std::chrono::milliseconds(1200);
/// All VMs have heard of the move, and told what they still run elsewhere, within this.
constexpr Duration MoveHeard = std::chrono::milliseconds(1500);
/// A version that was not shown good so long before the time limit is rolled back: moving takes a second at least.
constexpr Duration LastMoving = std::chrono::milliseconds(2500);

Record begin(const Order &order, const Record *before, Duration storeNow)
{
    Record record;
    if (before) {
        record = *before;
        if (!isOver(before->phase)) {
            // The order before was replaced: what it tried is not to be used unproved.
            record.excluded.push_back(before->toVersion);
        }
    }
    std::erase(record.excluded, order.toVersion);
    record.orderId = order.id;
    record.service = order.service;
    record.toVersion = order.toVersion;
    record.phase = Phase::Trial;
    record.startedAt = storeNow;
    record.endsAt = storeNow + order.timeLimit;
    record.phaseStartedAt = storeNow;
    return record;
}

Record inPhase(const Record &record, Phase phase, Duration storeNow)
{
    Record next = record;
    next.phase = phase;
    next.phaseStartedAt = storeNow;
    return next;
}

Record rolledBack(const Record &record, Duration storeNow)
{
    Record next = inPhase(record, Phase::RolledBack, storeNow);
    next.excluded.push_back(record.toVersion);
    return next;
}

Record succeeded(const Record &record, Duration storeNow, std::span<const std::string> versions)
{
    Record next = inPhase(record, Phase::Succeeded, storeNow);
    for (const std::string &version : versions) {
        const bool isListed = std::find(next.excluded.begin(), next.excluded.end(), version) != next.excluded.end();
        if (!version.empty() && version != record.toVersion && !isListed) {
            next.excluded.push_back(version);
        }
    }
    return next;
}

std::optional<Record> afterTrial(const Record &record, const PlanInput &input)
{
    if (input.verdict.finding == Finding::Bad) {
        return rolledBack(record, input.storeNow);
    }
    const Duration timeLimit = record.endsAt - record.startedAt;
    const Duration moving = std::max(LeastMoving, timeLimit / MovingPart);
    if (input.storeNow < record.endsAt - moving) {
        return std::nullopt;
    }
    if (input.verdict.finding == Finding::Good) {
        return inPhase(record, Phase::Moving, input.storeNow);
    }
    if (input.storeNow < record.endsAt - LastMoving) {
        return std::nullopt;
    }
    return rolledBack(record, input.storeNow);
}

} // namespace

Duration otherVersionsStopAt(const Record &record)
{
    return record.endsAt - WriteMargin;
}

std::optional<Record> nextRecord(const PlanInput &input)
{
    const bool isNew = input.order && (!input.record || !coversOrder(*input.record, *input.order));
    if (isNew) {
        return begin(*input.order, input.record, input.storeNow);
    }
    if (input.isRecordLost) {
        return *input.record;
    }
    if (!input.record || isOver(input.record->phase)) {
        return std::nullopt;
    }
    const Record &record = *input.record;
    const bool isWithdrawn = !input.order && record.phase == Phase::Trial;
    if (isWithdrawn) {
        return rolledBack(record, input.storeNow);
    }
    if (record.phase == Phase::Trial) {
        return afterTrial(record, input);
    }
    if (input.verdict.finding == Finding::Bad) {
        return rolledBack(record, input.storeNow);
    }
    const bool haveOthersEnded = input.openAtOtherVersions == 0 && input.storeNow - record.phaseStartedAt >= MoveHeard;
    if (haveOthersEnded || input.storeNow >= otherVersionsStopAt(record)) {
        return succeeded(record, input.storeNow, input.versions);
    }
    return std::nullopt;
}

} // namespace cardamomlift::rollout
