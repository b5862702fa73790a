#include "lifecycle/lifecycle.h"

#include "kernel/log.h"

#include <algorithm>

namespace cardamomlift::lifecycle {

namespace {

constexpr Duration CheckPeriod = std::chrono::milliseconds(50);
/// The balancer sees the failing health check within this time; connections it made meanwhile are served.
constexpr Duration TakeWorkFor = std::chrono::seconds(1);
/// For handing over what is open after the bound.
constexpr Duration HandoverTime = std::chrono::seconds(3);

void callAll(const std::vector<std::function<void()>> &handlers)
{
    for (const auto &handler : handlers) {
        handler();
    }
}

} // namespace

std::shared_ptr<Lifecycle> Lifecycle::create(EventLoop &loop)
{
    std::shared_ptr<Lifecycle> lifecycle(new Lifecycle);
    lifecycle->loop_ = &loop;
    return lifecycle;
}

Phase Lifecycle::phase() const
{
    if (phase_ == Phase::Ready && gate_ && !gate_()) {
        return Phase::Suspended;
    }
    return phase_;
}

void Lifecycle::setReady()
{
    if (phase_ == Phase::Starting) {
        phase_ = Phase::Ready;
    }
}

void Lifecycle::setReadinessCheck(std::function<bool()> mayTakeNewWork)
{
    gate_ = std::move(mayTakeNewWork);
}

bool Lifecycle::acceptsWork() const
{
    return phase() == Phase::Ready || (phase_ == Phase::Draining && !isPastLastWork_ && wasReady_);
}

void Lifecycle::drain(Duration bound)
{
    const TimePoint end = loop_->now() + bound;
    if (phase_ == Phase::Draining) {
        drainEnd_ = std::min(drainEnd_, end);
        logOpen();
        return;
    }
    wasReady_ = phase_ == Phase::Ready;
    phase_ = Phase::Draining;
    lastWork_ = loop_->now() + (wasReady_ ? std::min(TakeWorkFor, bound / 2) : Duration(0));
    drainEnd_ = end;
    partLogger("lifecycle")->info("Draining.");
    callAll(drainHandlers_);
    loop_->every(CheckPeriod, [this] { check(); });
}

void Lifecycle::onDrain(std::function<void()> handler)
{
    drainHandlers_.push_back(std::move(handler));
}

void Lifecycle::addOpenWorkCounter(std::string name, std::function<std::size_t()> openCount)
{
    probes_.push_back({std::move(name), std::move(openCount)});
}

void Lifecycle::onStopAccepting(std::function<void()> handler)
{
    lastWorkHandlers_.push_back(std::move(handler));
}

void Lifecycle::onDrainDeadline(std::function<void()> handler)
{
    boundHandlers_.push_back(std::move(handler));
}

void Lifecycle::check()
{
    const TimePoint now = loop_->now();
    if (!isPastLastWork_ && now >= lastWork_) {
        isPastLastWork_ = true;
        callAll(lastWorkHandlers_);
    }
    if (!isPastLastWork_) {
        return;
    }
    if (isIdle()) {
        stop();
    } else if (isPastBound_ && now >= drainEnd_ + HandoverTime) {
        logOpen();
        stop();
    } else if (!isPastBound_ && now >= drainEnd_) {
        isPastBound_ = true;
        logOpen();
        callAll(boundHandlers_);
    }
}

bool Lifecycle::isIdle() const
{
    return std::all_of(probes_.begin(), probes_.end(), [](const Probe &probe) { return probe.openCount() == 0; });
}

void Lifecycle::stop()
{
    partLogger("lifecycle")->info("Stopped.");
    loop_->stop();
}

void Lifecycle::logOpen() const
{
    for (const Probe &probe : probes_) {
        partLogger("lifecycle")->warn("Still open. part={} open={}", probe.name, probe.openCount());
    }
}

} // namespace cardamomlift::lifecycle
