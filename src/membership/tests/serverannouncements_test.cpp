#include "membership/serverannouncements.h"

#include <gtest/gtest.h>

namespace cardamomlift::membership {

namespace {

class ServerAnnouncementsTest : public testing::Test
{
protected:
    ServerAnnouncementsTest()
    {
        Vm engine;
        engine.instance = "engine-1";
        engine.role = VmRole::Model;
        members_->applyList(std::vector<Vm>{engine});
    }

    ManualClock clock_;
    std::shared_ptr<Members> members_ = Members::create("entry-1", &clock_);
    std::shared_ptr<backoff::BackoffTracker> backoffs_ = backoff::BackoffTracker::create(clock_);
    std::shared_ptr<ServerAnnouncements> announcements_ = ServerAnnouncements::create(members_, backoffs_);
};

TEST_F(ServerAnnouncementsTest, AnyAnswerMayTellThatTheServerLeaves)
{
    announcements_->note("engine-1", 200, {});
    EXPECT_FALSE(members_->isLeaving("engine-1"));
    announcements_->note("engine-1", 200, {{"X-Leaving", "true"}});
    EXPECT_TRUE(members_->isLeaving("engine-1"));
    EXPECT_EQ(members_->leavingMark("engine-1")->source, LeavingSource::Answer);
}

TEST_F(ServerAnnouncementsTest, ARefusalMayAskForABackoff)
{
    announcements_->note("engine-1", 429, {{"Retry-After", "3"}});
    announcements_->note("engine-1", 503, {{"Retry-After", "soon"}});
    announcements_->note("engine-1", 503, {});
    EXPECT_FALSE(backoffs_->endsAt("engine-1"));
    announcements_->note("engine-1", 503, {{"Retry-After", "0.5"}});
    EXPECT_EQ(backoffs_->endsAt("engine-1"), clock_.now() + std::chrono::milliseconds(500));
    EXPECT_FALSE(members_->isLeaving("engine-1"));
}

} // namespace

} // namespace cardamomlift::membership
