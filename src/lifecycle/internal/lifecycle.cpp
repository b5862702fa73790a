#include "lifecycle/lifecycle.h"

#include "kernel/log.h"

#include <algorithm>

namespace cardamomlift::lifecycle {

namespace {

constexpr Duration CheckPeriod = std::chrono::milliseconds(50);

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

void Lifecycle::setGate(std::function<bool()> mayTakeNewWork)
{
    gate_ = std::move(mayTakeNewWork);
}

void Lifecycle::drain(Duration bound)
{
    if (phase_ == Phase::Draining) {
        logOpen();
        return;
    }
    phase_ = Phase::Draining;
    drainEnd_ = loop_->now() + bound;
    partLogger("lifecycle")->info("Draining.");
    for (const auto &handler : drainHandlers_) {
        handler();
    }
    loop_->every(CheckPeriod, [this] { check(); });
}

void Lifecycle::onDrain(std::function<void()> handler)
{
    drainHandlers_.push_back(std::move(handler));
}

void Lifecycle::addProbe(std::string name, std::function<std::size_t()> openCount)
{
    probes_.push_back({std::move(name), std::move(openCount)});
}

void Lifecycle::check()
{
    const bool idle = std::all_of(probes_.begin(), probes_.end(), [](const Probe &probe) { return probe.openCount() == 0; });
    if (!idle && loop_->now() < drainEnd_) {
        return;
    }
    if (!idle) {
        logOpen();
    }
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
