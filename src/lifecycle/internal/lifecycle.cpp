#include "lifecycle/lifecycle.h"

#include "kernel/log.h"

#include <algorithm>

namespace cardamomlift::lifecycle {

namespace {

constexpr Duration CheckPeriod = std::chrono::milliseconds(50);
/// The load balancer notices the failing health check within this time. Until then, new connections are still served.
constexpr Duration AcceptGracePeriod = std::chrono::seconds(1);
/// Time limit for handing over the work that is still open at the drain's deadline.
constexpr Duration HandoverTimeout = std::chrono::seconds(3);

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
    if (phase_ == Phase::Ready && mayTakeNewWork_ && !mayTakeNewWork_()) {
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
    mayTakeNewWork_ = std::move(mayTakeNewWork);
}

bool Lifecycle::acceptsWork() const
{
    return phase() == Phase::Ready || (phase_ == Phase::Draining && !hasStoppedAccepting_ && wasReady_);
}

void Lifecycle::drain(Duration timeout)
{
    const TimePoint deadline = loop_->now() + timeout;
    if (phase_ == Phase::Draining) {
        drainDeadline_ = std::min(drainDeadline_, deadline);
        logOpenWork();
        return;
    }
    wasReady_ = phase_ == Phase::Ready;
    phase_ = Phase::Draining;
    acceptUntil_ = loop_->now() + (wasReady_ ? std::min(AcceptGracePeriod, timeout / 2) : Duration(0));
    drainDeadline_ = deadline;
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
    openWorkCounters_.push_back({std::move(name), std::move(openCount)});
}

void Lifecycle::onStopAccepting(std::function<void()> handler)
{
    stopAcceptingHandlers_.push_back(std::move(handler));
}

void Lifecycle::onDrainDeadline(std::function<void()> handler)
{
    deadlineHandlers_.push_back(std::move(handler));
}

void Lifecycle::check()
{
    const TimePoint now = loop_->now();
    if (!hasStoppedAccepting_ && now >= acceptUntil_) {
        hasStoppedAccepting_ = true;
        callAll(stopAcceptingHandlers_);
    }
    if (!hasStoppedAccepting_) {
        return;
    }
    if (isIdle()) {
        stop();
    } else if (isPastDeadline_ && now >= drainDeadline_ + HandoverTimeout) {
        logOpenWork();
        stop();
    } else if (!isPastDeadline_ && now >= drainDeadline_) {
        isPastDeadline_ = true;
        logOpenWork();
        callAll(deadlineHandlers_);
    }
}

bool Lifecycle::isIdle() const
{
    return std::all_of(openWorkCounters_.begin(), openWorkCounters_.end(), [](const OpenWorkCounter &counter) { return counter.openCount() == 0; });
}

void Lifecycle::stop()
{
    partLogger("lifecycle")->info("Stopped.");
    loop_->stop();
}

void Lifecycle::logOpenWork() const
{
    for (const OpenWorkCounter &counter : openWorkCounters_) {
        partLogger("lifecycle")->warn("Still open. part={} open={}", counter.name, counter.openCount());
    }
}

} // namespace cardamomlift::lifecycle
