#include "rollout/rolloutplan.h"

#include <algorithm>

namespace cardamomlift::rollout {

namespace {

/// Shortest phase Moving, in which requests finish at servers of other versions, which then stop without draining. Most
/// streams end within four seconds.
constexpr Duration MinMoving = std::chrono::seconds(4);
/// Orders with a long time limit use a quarter of it for the phase Moving.
constexpr int MovingDivisor = 4;
/// The final phase is written this long before the time limit. The margin covers two lost writes and the delay with which the
/// order was read.
constexpr Duration WriteMargin = std::chrono::milliseconds(1200);
/// Time within which all VMs have learned of the phase Moving and reported their open requests at servers of other versions.
constexpr Duration MovePropagation = std::chrono::milliseconds(1500);
/// A version that is not shown to be good this long before the time limit is rolled back, since moving the traffic takes at
/// least a second.
constexpr Duration LatestMoving = std::chrono::milliseconds(2500);

Record firstRecord(const Order &order, const Record *previous, Duration storeNow)
{
    Record record;
    if (previous) {
        record = *previous;
        if (!isOver(previous->phase)) {
            // The previous order was replaced during its rollout: do not use its version, since it is not shown to be good.
            record.excluded.push_back(previous->toVersion);
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

Record withPhase(const Record &record, Phase phase, Duration storeNow)
{
    Record next = record;
    next.phase = phase;
    next.phaseStartedAt = storeNow;
    return next;
}

Record rolledBack(const Record &record, Duration storeNow)
{
    Record next = withPhase(record, Phase::RolledBack, storeNow);
    next.excluded.push_back(record.toVersion);
    return next;
}

Record succeeded(const Record &record, Duration storeNow, std::span<const std::string> versions)
{
    Record next = withPhase(record, Phase::Succeeded, storeNow);
    for (const std::string &version : versions) {
        const bool isListed = std::find(next.excluded.begin(), next.excluded.end(), version) != next.excluded.end();
        if (!version.empty() && version != record.toVersion && !isListed) {
            next.excluded.push_back(version);
        }
    }
    return next;
}

std::optional<Record> nextInTrial(const Record &record, const PlanInput &input)
{
    if (input.verdict.finding == Finding::Bad) {
        return rolledBack(record, input.storeNow);
    }
    const Duration timeLimit = record.endsAt - record.startedAt;
    const Duration movingTime = std::max(MinMoving, timeLimit / MovingDivisor);
    if (input.storeNow < record.endsAt - movingTime) {
        return std::nullopt;
    }
    if (input.verdict.finding == Finding::Good) {
        return withPhase(record, Phase::Moving, input.storeNow);
    }
    if (input.storeNow < record.endsAt - LatestMoving) {
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
        return firstRecord(*input.order, input.record, input.storeNow);
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
        return nextInTrial(record, input);
    }
    if (input.verdict.finding == Finding::Bad) {
        return rolledBack(record, input.storeNow);
    }
    const bool areOthersDrained = input.openAtOtherVersions == 0 && input.storeNow - record.phaseStartedAt >= MovePropagation;
    if (areOthersDrained || input.storeNow >= otherVersionsStopAt(record)) {
        return succeeded(record, input.storeNow, input.versions);
    }
    return std::nullopt;
}

} // namespace cardamomlift::rollout
