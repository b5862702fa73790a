#pragma once

#include "kernel/eventloop.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace cardamomlift::lifecycle {

/// Whether the daemon may take new work.
enum class Phase {
    Starting, ///< Not yet able to serve.
    Ready,
    Suspended, ///< Was ready, but the readiness check fails: takes no new work, while open work continues.
    Draining, ///< Shutting down: soon takes no new work; open work finishes or is handed over to other VMs.
};

/// The daemon's lifecycle phase. Modules register counters of their open work; a draining daemon stops once all are 0.
class Lifecycle
{
public:
    static std::shared_ptr<Lifecycle> create(EventLoop &loop);

    Phase phase() const;
    void setReady();
    /// Sets a check that phase() makes while the daemon is ready. If it returns false, the phase is Suspended.
    void setReadinessCheck(std::function<bool()> mayTakeNewWork);
    /// Whether new work may start: when ready, and for a short time after a drain began, until load balancers have noticed.
    bool acceptsWork() const;
    /// Starts draining. The event loop stops when every open-work counter is 0. Work still open after @p timeout is handed
    /// over, and the loop stops a few seconds later. A repeated call logs what is still open, and can bring the deadline
    /// forward but not postpone it.
    void drain(Duration timeout);
    /// Adds a handler that is called when the drain begins.
    void onDrain(std::function<void()> handler);
    /// Adds a handler that is called shortly after the drain began, when new work is no longer accepted.
    void onStopAccepting(std::function<void()> handler);
    /// Adds a handler that is called when the drain's deadline has passed with work still open.
    void onDrainDeadline(std::function<void()> handler);
    /// @p openCount returns the number of units of work that the module @p name has open.
    void addOpenWorkCounter(std::string name, std::function<std::size_t()> openCount);

private:
    struct OpenWorkCounter {
        std::string name;
        std::function<std::size_t()> openCount;
    };
    Lifecycle() = default;
    void check();
    void stop();
    bool isIdle() const;
    void logOpenWork() const;
    EventLoop *loop_ = nullptr;
    Phase phase_ = Phase::Starting;
    std::function<bool()> mayTakeNewWork_;
    TimePoint acceptUntil_;
    TimePoint drainDeadline_;
    bool wasReady_ = false;
    bool hasStoppedAccepting_ = false;
    bool isPastDeadline_ = false;
    std::vector<std::function<void()>> drainHandlers_;
    std::vector<std::function<void()>> stopAcceptingHandlers_;
    std::vector<std::function<void()>> deadlineHandlers_;
    std::vector<OpenWorkCounter> openWorkCounters_;
};

} // namespace cardamomlift::lifecycle
