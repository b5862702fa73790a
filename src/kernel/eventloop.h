#pragma once

#include "kernel/clock.h"
#include "kernel/result.h"

#include <cstdint>
#include <functional>
#include <memory>

struct ev_loop;

namespace cardamomlift {

using TimerId = std::uint64_t;

/// One libev loop with a message queue and timers on the runtime's clock.
///
/// Everything but post() and stop() belongs to the thread that calls run().
class EventLoop
{
public:
    /// Creates a loop on @p clock, which must outlive it. Fails if libev finds no backend.
    static Result<std::unique_ptr<EventLoop>> create(const Clock &clock);
    /// Drops what is queued. What the dropped messages and timers own is freed here and may still use the loop, to no effect.
    ~EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    const Clock &clock() const;
    TimePoint now() const;

    /// Queues @p message for the loop's thread. May be called from any thread.
    void post(std::function<void()> message);

    /// Calls @p action once after @p delay.
    TimerId after(Duration delay, std::function<void()> action);
    /// Calls @p action every @p period until cancelled.
    TimerId every(Duration period, std::function<void()> action);
    /// Forgets a timer; an unknown id is ignored.
    void cancel(TimerId id);

    /// Runs until stop().
    void run();
    /// Runs what is due now and returns; tests call it after advancing a ManualClock.
    void runDue();
    /// Makes run() return. May be called from any thread and from signal callbacks.
    void stop();

    /// The libev loop, for library glue that owns its own watchers.
    struct ev_loop *raw() const;

private:
    EventLoop() = default;
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace cardamomlift
