#include "reclaim/reclaimwatch.h"

#include <gtest/gtest.h>

using namespace cardamomlift;
using namespace std::chrono_literals;

TEST(ReclaimWatch, ReservesTimeForTheHandover)
{
    EXPECT_EQ(reclaim::drainTimeoutFor(30s), Duration(28500ms));
    EXPECT_EQ(reclaim::drainTimeoutFor(2s), Duration(1s));
    EXPECT_EQ(reclaim::drainTimeoutFor(0s), Duration(0));
}

TEST(ReclaimWatch, ALeavingMarkInTheMembershipListStartsTheDrain)
{
    ManualClock clock;
    const auto loop = std::move(EventLoop::create(clock).value());
    const std::shared_ptr<http::Client> client = std::move(http::Client::create(*loop).value());
    const auto lifecycle = lifecycle::Lifecycle::create(*loop);
    const auto members = membership::Members::create("entry-1");
    const auto watch = reclaim::ReclaimWatch::create(*loop, client, lifecycle, members);
    watch->start("", 500ms);
    members->markLeaving("entry-2");
    EXPECT_NE(lifecycle->phase(), lifecycle::Phase::Draining);
    members->markLeaving("entry-1");
    EXPECT_EQ(lifecycle->phase(), lifecycle::Phase::Draining);
}
