#include "kernel/eventloop.h"

#include <gtest/gtest.h>

using namespace cardamomlift;

namespace {

/// A part that uses the loop in its destructor, as parts do that own a timer.
struct Part {
    explicit Part(EventLoop &on)
        : loop(on)
        , timer(loop.every(std::chrono::seconds(1), [] {}))
    {
    }

    Part(const Part &) = delete;
    Part &operator=(const Part &) = delete;

    ~Part()
    {
        loop.cancel(timer);
        loop.post([] {});
        loop.after(std::chrono::seconds(1), [] {});
        ended++;
    }

    EventLoop &loop;
    TimerId timer;
    static int ended;
};

int Part::ended = 0;

class EventLoopEnd : public ::testing::Test
{
protected:
    EventLoopEnd()
        : loop(std::move(EventLoop::create(clock).value()))
    {
        Part::ended = 0;
    }

    ManualClock clock;
    std::unique_ptr<EventLoop> loop;
};

} // namespace

TEST_F(EventLoopEnd, PartOwnedByATimerMayUseTheLoop)
{
    for (int i = 1; i <= 3; i++) {
        loop->after(std::chrono::seconds(i), [part = std::make_shared<Part>(*loop)] {});
    }
    loop.reset();
    EXPECT_EQ(Part::ended, 3);
}

TEST_F(EventLoopEnd, PartOwnedByAMessageMayUseTheLoop)
{
    for (int i = 1; i <= 3; i++) {
        loop->post([part = std::make_shared<Part>(*loop)] {});
    }
    loop.reset();
    EXPECT_EQ(Part::ended, 3);
}
