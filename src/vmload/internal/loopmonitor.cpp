#include "vmload/loopmonitor.h"

#include "vmload/vmloadrules.h"

#include <utility>

namespace cardamomlift::vmload {

namespace {

using eventlog::Attribute;
using eventlog::Event;

constexpr Duration SamplePeriod = std::chrono::milliseconds(100);

} // namespace

LoopMonitor::LoopMonitor(LoopMonitorTools tools)
    : tools_(std::move(tools))
    , sampledAt_(tools_.loop->now())
{
}

std::shared_ptr<LoopMonitor> LoopMonitor::start(LoopMonitorTools tools)
{
    std::shared_ptr<LoopMonitor> monitor(new LoopMonitor(std::move(tools)));
    monitor->timer_ = monitor->tools_.loop->every(SamplePeriod, [weak = std::weak_ptr<LoopMonitor>(monitor)] {
        if (const auto self = weak.lock()) {
            self->sample();
        }
    });
    return monitor;
}

LoopMonitor::~LoopMonitor()
{
    tools_.loop->cancel(timer_);
}

const VmLoad &LoopMonitor::load() const
{
    return load_;
}

bool LoopMonitor::shouldHandOver(std::uint64_t salt) const
{
    return load_.share > 0 && isInShare(load_.share, salt);
}

Duration LoopMonitor::headroomLag() const
{
    return headroomLimit(load_, {});
}

void LoopMonitor::sample()
{
    const TimePoint now = tools_.loop->now();
    load_.lag = smoothedLag(load_.lag, now - sampledAt_ - SamplePeriod);
    sampledAt_ = now;
    const Duration goal = tools_.tightestGoal();
    const bool wasBusy = load_.isBusy;
    updateBusy(load_, goal, now, {});
    const double wanted = load_.isBusy ? wantedShare(load_, goal, tools_.otherLags(), {}) : 0;
    load_.share = nextShare(load_.share, wanted, {});
    if (wasBusy != load_.isBusy) {
        tools_.log->write(Event::VmBusy,
            {{Attribute::Outcome, load_.isBusy ? "busy" : "calm"},
                {Attribute::LagMs, toMilliseconds(load_.lag)},
                {Attribute::GoalMs, toMilliseconds(goal)},
                {Attribute::SharePercent, static_cast<std::int64_t>(wanted * 100)}});
    }
}

} // namespace cardamomlift::vmload
