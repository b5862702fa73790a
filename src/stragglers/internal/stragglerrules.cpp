#include "stragglers/stragglerrules.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <vector>

namespace cardamomlift::stragglers {

namespace {

/// Weight of a new pause in the mean: some four pauses decide.
constexpr double NewPauseWeight = 0.3;
/// A stream that has more events than expected counts as having this part of them still to come.
constexpr double MinLeftShare = 0.1;
/// Other paces can't be true: a liar or a fault.
constexpr double MinPace = 0.05;
constexpr double MaxPace = 100;

Duration scale(Duration duration, double factor)
{
    return Duration(std::llround(static_cast<double>(duration.count()) * factor));
}

double usablePace(double pace)
{
    return std::isfinite(pace) && pace > 0 ? std::clamp(pace, MinPace, MaxPace) : 1;
}

bool hasRoom(const MoveTarget &target, const StragglerParameters &parameters)
{
    const double taken = target.openRequests + target.takenLately;
    return target.takenLately < parameters.maxMovesPerTarget && taken + 1 <= target.slots * (1 - parameters.freeShare);
}

double costOf(const MoveTarget &target, const StragglerParameters &parameters)
{
    const double open = target.openRequests + target.takenLately + (target.isInOwnZone ? 0 : parameters.crossZoneCost);
    return usablePace(target.pace) * (1 + open / target.slots);
}

/// The run's pauses may be longer now than their mean tells.
Duration pauseNow(const RunProgress &progress)
{
    return std::max(progress.gaps.meanPause, progress.waited);
}

Duration timeNeeded(const RunProgress &progress, double factor)
{
    const Duration gap = std::max(progress.gaps.meanGap, progress.waited / 2);
    return scale(gap, progress.eventsLeft * factor);
}

} // namespace

void noteEvents(EventGaps &gaps, std::size_t events, Duration pause, Duration goal)
{
    if (events == 0 || pause < Duration(0)) {
        return;
    }
    const double weight = gaps.pauses == 0 ? 1 : NewPauseWeight;
    gaps.meanPause += scale(pause - gaps.meanPause, weight);
    gaps.meanGap += scale(pause / static_cast<std::int64_t>(events) - gaps.meanGap, weight);
    const bool isLate = goal.count() > 0 && pause > goal;
    gaps.lateBits = static_cast<std::uint8_t>((gaps.lateBits << 1U) | (isLate ? 1U : 0U));
    gaps.pauses++;
}

double eventsLeft(double expected, std::uint64_t events)
{
    const auto seen = static_cast<double>(events);
    return expected > 0 ? std::max({expected - seen, seen * MinLeftShare, 1.0}) : std::max(seen, 1.0);
}

RunNeed needOf(const RunProgress &progress, const StragglerParameters &parameters)
{
    if (progress.gaps.pauses < parameters.minPauses || progress.timeLeft <= Duration(0)) {
        return RunNeed::None;
    }
    if (timeNeeded(progress, 1) > scale(progress.timeLeft, parameters.usableTime)) {
        return RunNeed::Deadline;
    }
    if (progress.gapGoal <= Duration(0)) {
        return RunNeed::None;
    }
    const bool isNearGoal = pauseNow(progress) > scale(progress.gapGoal, parameters.nearGoal);
    return isNearGoal || std::popcount(progress.gaps.lateBits) >= parameters.maxLateGaps ? RunNeed::Gaps : RunNeed::None;
}

std::optional<std::size_t> chooseTarget(std::span<const MoveTarget> targets, double paceHere, std::uint64_t salt, const StragglerParameters &parameters)
{
    const double maxPace = usablePace(paceHere) * parameters.maxPaceRatio;
    std::vector<std::size_t> usable;
    for (std::size_t i = 0; i < targets.size(); i++) {
        if (usablePace(targets[i].pace) <= maxPace && hasRoom(targets[i], parameters)) {
            usable.push_back(i);
        }
    }
    if (usable.empty()) {
        return {};
    }
    const std::size_t first = usable[salt % usable.size()];
    const std::size_t second = usable[(salt / usable.size()) % usable.size()];
    return costOf(targets[second], parameters) < costOf(targets[first], parameters) ? second : first;
}

RunDecision decide(const RunProgress &progress, double paceHere, const MoveTarget *target, const StragglerParameters &parameters)
{
    const RunNeed need = needOf(progress, parameters);
    if (need == RunNeed::None) {
        return RunDecision::KeepsUp;
    }
    if (!target) {
        return RunDecision::NoBetterServer;
    }
    if (progress.waited + target->pause > parameters.maxPause) {
        return RunDecision::TooLate;
    }
    const double ratio = usablePace(target->pace) / usablePace(paceHere);
    const Duration there = target->pause + timeNeeded(progress, ratio);
    if (there > progress.timeLeft) {
        return RunDecision::TooLate;
    }
    if (need == RunNeed::Gaps && scale(pauseNow(progress), ratio) > progress.gapGoal) {
        return RunDecision::NoBetterServer;
    }
    const Duration gain = timeNeeded(progress, 1) - there;
    return gain < scale(target->pause, parameters.minGain) ? RunDecision::CostsMore : RunDecision::Move;
}

std::string_view decisionName(RunDecision decision)
{
    switch (decision) {
    case RunDecision::KeepsUp:
        return "keeps_up";
    case RunDecision::NoBetterServer:
        return "no_better_server";
    case RunDecision::TooLate:
        return "too_late";
    case RunDecision::CostsMore:
        return "costs_more";
    case RunDecision::Move:
        return "move";
    }
    return "unknown";
}

} // namespace cardamomlift::stragglers
