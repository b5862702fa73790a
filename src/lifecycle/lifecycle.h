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
    Suspended, ///< Was ready; takes no new work while the gate is closed. What is open goes on.
    Draining, ///< Takes no new work; what is open finishes or moves.
};

/// The daemon's phase. Parts with open work register a probe; the daemon stops when it drains and all are idle.
class Lifecycle
{
public:
    static std::shared_ptr<Lifecycle> create(EventLoop &loop);

    Phase phase() const;
    void setReady();
    /// Asked at each phase() while ready; false makes that Suspended.
    void setReadinessCheck(std::function<bool()> mayTakeNewWork);
    /// Whether new work may start: when ready, and for a moment after the drain began, until callers have gone elsewhere.
    bool acceptsWork() const;
    /// Starts draining. The loop stops when every probe gives 0. What is open after @p bound is handed over, and the loop
    /// stops a few seconds later. A repeat logs what is still open; it can shorten the bound, not lengthen it.
    void drain(Duration bound);
    /// Called when the drain begins.
    void onDrain(std::function<void()> handler);
    /// Called a moment later, when no new work is taken any more.
    void onStopAccepting(std::function<void()> handler);
    /// Called when the bound has passed with work still open.
    void onDrainDeadline(std::function<void()> handler);
    /// @p openCount gives the number of open pieces of work of the part @p name.
    void addOpenWorkCounter(std::string name, std::function<std::size_t()> openCount);

private:
    struct Probe {
        std::string name;
        std::function<std::size_t()> openCount;
    };
    Lifecycle() = default;
    void check();
    void stop();
    bool isIdle() const;
    void logOpen() const;
    EventLoop *loop_ = nullptr;
    Phase phase_ = Phase::Starting;
    std::function<bool()> gate_;
    TimePoint lastWork_;
    TimePoint drainEnd_;
    bool wasReady_ = false;
    bool isPastLastWork_ = false;
    bool isPastBound_ = false;
    std::vector<std::function<void()>> drainHandlers_;
    std::vector<std::function<void()>> lastWorkHandlers_;
    std::vector<std::function<void()>> boundHandlers_;
    std::vector<Probe> probes_;
};

} // namespace cardamomlift::lifecycle
