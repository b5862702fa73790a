#include "kernel/eventloop.h"

#include <ev.h>

#include <algorithm>
#include <map>
#include <mutex>
#include <unordered_map>
#include <utility>
#include <vector>

namespace cardamomlift {

namespace {

constexpr double MicrosecondsPerSecond = 1e6;
constexpr double LongestSleepSeconds = 60.0;

struct Timer {
    TimerId id = 0;
    Duration period{0};
    std::function<void()> action;
};

} // namespace

struct EventLoop::Impl {
    const Clock *clock = nullptr;
    struct ev_loop *loop = nullptr;
    ev_async wake{};
    ev_timer timer{};
    ev_check check{};
    std::mutex mutex;
    std::vector<std::function<void()>> messages;
    bool stopping = false;
    bool ending = false;
    std::multimap<TimePoint, Timer> timers;
    std::unordered_map<TimerId, std::multimap<TimePoint, Timer>::iterator> timerIndex;
    TimerId nextId = 1;

    void drainMessages()
    {
        std::vector<std::function<void()>> batch;
        bool stopNow = false;
        {
            std::lock_guard lock(mutex);
            batch.swap(messages);
            stopNow = stopping;
        }
        for (const auto &message : batch) {
            message();
        }
        if (stopNow) {
            ev_break(loop, EVBREAK_ALL);
        }
    }

    void runTimers()
    {
        const TimePoint now = clock->now();
        while (!timers.empty() && timers.begin()->first <= now) {
            auto node = timers.extract(timers.begin());
            Timer &timer = node.mapped();
            timerIndex.erase(timer.id);
            auto action = timer.action;
            if (timer.period.count() > 0) {
                node.key() = now + timer.period;
                const TimerId id = timer.id;
                timerIndex[id] = timers.insert(std::move(node));
            }
            action();
        }
        arm();
    }

    void arm()
    {
        ev_timer_stop(loop, &timer);
        double wait = LongestSleepSeconds;
        if (!timers.empty()) {
            const auto micros = static_cast<double>((timers.begin()->first - clock->now()).count());
            wait = std::clamp(micros / MicrosecondsPerSecond, 0.0, LongestSleepSeconds);
        }
        ev_timer_set(&timer, wait, 0.0);
        ev_timer_start(loop, &timer);
    }

    // libev's timer does not count the time of a suspension, the runtime's clock does: what came due meanwhile runs before
    // the sockets' messages of that time.
    void runDueTimers()
    {
        if (!timers.empty() && timers.begin()->first <= clock->now()) {
            runTimers();
        }
    }

    // NOTE What a message or a timer owns may post, arm and cancel when it is freed, so the loop must still be whole then.
    void dropAll()
    {
        std::vector<std::function<void()>> droppedMessages;
        {
            const std::lock_guard lock(mutex);
            ending = true;
            droppedMessages.swap(messages);
        }
        timerIndex.clear();
        const auto droppedTimers = std::exchange(timers, {});
    }

    TimerId insert(Duration delay, Duration period, std::function<void()> action)
    {
        const TimerId id = nextId++;
        if (ending) {
            return id;
        }
        timerIndex[id] = timers.emplace(clock->now() + delay, Timer{id, period, std::move(action)});
        if (timerIndex[id] == timers.begin()) {
            ev_now_update(loop);
            arm();
        }
        return id;
    }
};

Result<std::unique_ptr<EventLoop>> EventLoop::create(const Clock &clock)
{
    std::unique_ptr<EventLoop> result(new EventLoop);
    result->impl_ = std::make_unique<Impl>();
    Impl *impl = result->impl_.get();
    impl->clock = &clock;
    impl->loop = ev_loop_new(EVFLAG_AUTO);
    if (!impl->loop) {
        return failure(ErrorKind::Internal, "libev found no backend");
    }
    impl->wake.data = impl;
    ev_async_init(&impl->wake, [](struct ev_loop *, ev_async *watcher, int) { static_cast<Impl *>(watcher->data)->drainMessages(); });
    ev_async_start(impl->loop, &impl->wake);
    impl->timer.data = impl;
    ev_timer_init(
        &impl->timer, [](struct ev_loop *, ev_timer *watcher, int) { static_cast<Impl *>(watcher->data)->runTimers(); }, 0.0, 0.0);
    impl->check.data = impl;
    ev_check_init(&impl->check, [](struct ev_loop *, ev_check *watcher, int) { static_cast<Impl *>(watcher->data)->runDueTimers(); });
    ev_set_priority(&impl->check, EV_MAXPRI);
    ev_check_start(impl->loop, &impl->check);
    return result;
}

EventLoop::~EventLoop()
{
    if (impl_ && impl_->loop) {
        impl_->dropAll();
        ev_loop_destroy(impl_->loop);
    }
}

const Clock &EventLoop::clock() const
{
    return *impl_->clock;
}

TimePoint EventLoop::now() const
{
    return impl_->clock->now();
}

void EventLoop::post(std::function<void()> message)
{
    {
        std::lock_guard lock(impl_->mutex);
        if (impl_->ending) {
            return;
        }
        impl_->messages.push_back(std::move(message));
    }
    ev_async_send(impl_->loop, &impl_->wake);
}

TimerId EventLoop::after(Duration delay, std::function<void()> action)
{
    return impl_->insert(delay, Duration(0), std::move(action));
}

TimerId EventLoop::every(Duration period, std::function<void()> action)
{
    return impl_->insert(period, period, std::move(action));
}

void EventLoop::cancel(TimerId id)
{
    const auto found = impl_->timerIndex.find(id);
    if (found == impl_->timerIndex.end()) {
        return;
    }
    impl_->timers.erase(found->second);
    impl_->timerIndex.erase(found);
}

void EventLoop::run()
{
    impl_->arm();
    ev_run(impl_->loop, 0);
}

void EventLoop::runDue()
{
    ev_run(impl_->loop, EVRUN_NOWAIT);
    impl_->drainMessages();
    impl_->runTimers();
}

void EventLoop::stop()
{
    {
        std::lock_guard lock(impl_->mutex);
        impl_->stopping = true;
    }
    ev_async_send(impl_->loop, &impl_->wake);
}

struct ev_loop *EventLoop::raw() const
{
    return impl_->loop;
}

} // namespace cardamomlift
