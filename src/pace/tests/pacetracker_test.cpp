#include "pace/pacetracker.h"
#include "presence/statusformat.h"
#include "presence/statussummary.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <random>

namespace cardamomlift::pace {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds Step(10);
constexpr milliseconds SharePeriod(350);
constexpr milliseconds TickPeriod(250);
const std::string Service = "service";

struct Size {
    std::size_t vms = 4;
    std::size_t vmsPerGroup = 4;
    std::size_t servers = 8;
    double requestsPerSecond = 80; ///< At all VMs together.
    int events = 0; ///< Of a stream after the first; 0: plain answers.
    milliseconds unitTime{60}; ///< Of an event, or a plain answer, at the mean pace.
};

/// A server as it is, and what it says of itself.
struct ServerState {
    std::string instance;
    double speed = 1; ///< Its work takes this many times as long.
    double moment = 1; ///< The same, at this moment.
    bool announces = false;
    std::optional<double> lie; ///< What it announces in place of the truth.
};

/// VMs that send requests to servers chosen at random and tell each other what they have observed, in full statuses within their group and in summaries
/// to the other groups, on a simulated clock.
class Fleet
{
public:
    explicit Fleet(const Size &size)
        : size_(size)
        , random_(7)
    {
        loop_ = std::move(EventLoop::create(clock_).value());
        for (std::size_t i = 0; i < size.vms; i++) {
            trackers_.push_back(PaceTracker::create(*loop_));
        }
        for (std::size_t i = 0; i < size.servers; i++) {
            servers_.push_back({fmt::format("server-{}", i)});
        }
        statuses_.resize(size.vms);
        sentAt_.resize(size.vms);
    }

    std::vector<ServerState> &servers()
    {
        return servers_;
    }

    void run(milliseconds time)
    {
        for (milliseconds passed(0); passed < time; passed += Step) {
            step();
        }
    }

    PaceEstimate paceAt(std::size_t vm, std::size_t server) const
    {
        return trackers_[vm]->paceOf(presence::nameHash(servers_[server].instance), Service);
    }

    /// The share of the VMs at which the factor of @p server is within these bounds.
    double shareWithin(std::size_t server, double min, double max) const
    {
        std::size_t count = 0;
        for (std::size_t vm = 0; vm < size_.vms; vm++) {
            const double factor = paceAt(vm, server).factor;
            count += factor >= min && factor <= max ? 1 : 0;
        }
        return static_cast<double>(count) / static_cast<double>(size_.vms);
    }

    /// How far off the factors are, over all VMs and servers: the mean of the absolute logarithms.
    double meanError() const
    {
        double mean = 0;
        for (const ServerState &server : servers_) {
            mean += server.speed / static_cast<double>(servers_.size());
        }
        double error = 0;
        for (std::size_t vm = 0; vm < size_.vms; vm++) {
            for (std::size_t i = 0; i < servers_.size(); i++) {
                error += std::abs(std::log(paceAt(vm, i).factor / (servers_[i].speed * servers_[i].moment / mean)));
            }
        }
        return error / static_cast<double>(size_.vms * servers_.size());
    }

    /// The largest datagram of pace alone, and what a VM sends of it in a second.
    std::size_t maxStatusBytes() const
    {
        return maxStatusBytes_;
    }

    std::size_t maxSummaryBytes() const
    {
        return maxSummaryBytes_;
    }

private:
    struct Run {
        std::size_t vm = 0;
        std::size_t server = 0;
        std::string instance;
        int unitsLeft = 1;
        TimePoint startedAt; ///< Of the unit in progress.
        TimePoint endsAt;
    };

    double factorOf(const ServerState &server) const
    {
        return server.speed * server.moment;
    }

    Duration unitTime(const ServerState &server)
    {
        std::uniform_real_distribution<double> noise(0.8, 1.2);
        return std::chrono::duration_cast<Duration>(size_.unitTime * factorOf(server) * noise(random_));
    }

    void announce(const Run &run)
    {
        const ServerState &server = servers_[run.server];
        if (server.announces && server.instance == run.instance) {
            trackers_[run.vm]->noteAnnounced(server.instance, server.lie.value_or(server.moment));
        }
    }

    void startRuns()
    {
        std::poisson_distribution<int> arrivals(size_.requestsPerSecond * std::chrono::duration<double>(Step).count());
        for (int left = arrivals(random_); left > 0; left--) {
            Run run;
            run.vm = random_() % size_.vms;
            run.server = random_() % size_.servers;
            run.instance = servers_[run.server].instance;
            run.unitsLeft = std::max(1, size_.events);
            run.startedAt = clock_.now();
            run.endsAt = run.startedAt + unitTime(servers_[run.server]);
            if (size_.events > 0) {
                announce(run);
            }
            runs_.push_back(run);
        }
    }

    void endUnit(Run &run)
    {
        const TimePoint now = clock_.now();
        if (size_.events > 0) {
            trackers_[run.vm]->noteEvents(run.instance, Service, 1, run.endsAt - run.startedAt);
        } else {
            announce(run);
            trackers_[run.vm]->noteAnswer(run.instance, Service, run.endsAt - run.startedAt);
        }
        run.unitsLeft--;
        run.startedAt = now;
        run.endsAt = now + unitTime(servers_[run.server]);
    }

    void step()
    {
        clock_.advance(Step);
        steps_++;
        for (Run &run : runs_) {
            if (run.endsAt <= clock_.now()) {
                endUnit(run);
            }
        }
        std::erase_if(runs_, [](const Run &run) { return run.unitsLeft == 0; });
        startRuns();
        for (std::size_t vm = 0; vm < size_.vms; vm++) {
            if ((steps_ + vm) % (SharePeriod / Step) == 0) {
                share(vm);
            }
            if ((steps_ + vm) % (TickPeriod / Step) == 0) {
                trackers_[vm]->tick();
            }
        }
    }

    std::size_t groupOf(std::size_t vm) const
    {
        return vm / size_.vmsPerGroup;
    }

    static presence::Status sent(const presence::Status &status, std::size_t &maxBytes)
    {
        const std::string bytes = presence::encodeStatus(status, 0, {});
        presence::Status empty;
        empty.instance = status.instance;
        empty.summaryOf = status.summaryOf;
        maxBytes = std::max(maxBytes, bytes.size() - presence::encodeStatus(empty, 0, {}).size());
        return presence::decodeStatus(bytes)->status;
    }

    void share(std::size_t vm)
    {
        presence::Status status;
        status.instance = fmt::format("vm-{}", vm);
        status.paces = trackers_[vm]->pacesToShare();
        status.firstBytes = trackers_[vm]->firstBytesToShare();
        statuses_[vm] = sent(status, maxStatusBytes_);
        sentAt_[vm] = clock_.now();
        for (std::size_t other = 0; other < size_.vms; other++) {
            if (other != vm && groupOf(other) == groupOf(vm)) {
                trackers_[other]->applyPeer(statuses_[vm]);
            }
        }
        // One VM of the group answers for it, to all others.
        if (vm % size_.vmsPerGroup == 0 && size_.vms > size_.vmsPerGroup) {
            shareSummary(groupOf(vm));
        }
    }

    void shareSummary(std::size_t group)
    {
        std::vector<presence::MemberStatus> members;
        for (std::size_t vm = 0; vm < size_.vms; vm++) {
            if (groupOf(vm) == group && !statuses_[vm].instance.empty()) {
                members.push_back({&statuses_[vm], clock_.now() - sentAt_[vm]});
            }
        }
        presence::Status summary = presence::summarize(fmt::format("group-{}", group), members);
        summary.instance = fmt::format("group-{}", group);
        summary = sent(summary, maxSummaryBytes_);
        for (std::size_t vm = 0; vm < size_.vms; vm++) {
            if (groupOf(vm) != group) {
                trackers_[vm]->applyPeer(summary);
            }
        }
    }

    Size size_;
    ManualClock clock_;
    std::unique_ptr<EventLoop> loop_;
    std::mt19937 random_;
    std::vector<std::shared_ptr<PaceTracker>> trackers_;
    std::vector<ServerState> servers_;
    std::vector<presence::Status> statuses_;
    std::vector<TimePoint> sentAt_;
    std::vector<Run> runs_;
    std::size_t steps_ = 0;
    std::size_t maxStatusBytes_ = 0;
    std::size_t maxSummaryBytes_ = 0;
};

const Size ManyVms{88, 11, 90, 600, 24, milliseconds(30)};

// 8 servers that are alike, 80 plain requests a second at 4 VMs.
TEST(PaceTracker, ServersThatMeasureEvenAreServedAsBefore)
{
    Fleet fleet({});
    fleet.run(std::chrono::seconds(10));
    for (std::size_t server = 0; server < 8; server++) {
        EXPECT_EQ(fleet.shareWithin(server, 1, 1), 1) << server;
    }
}

// A third of the servers takes 1.7 times as long as the others take 0.7 of it; none says so. 600 streams a second at 88 VMs.
TEST(PaceTracker, UntoldSpeedsAreKnownByAllVms)
{
    Fleet fleet(ManyVms);
    for (std::size_t i = 0; i < fleet.servers().size(); i++) {
        fleet.servers()[i].speed = i % 3 == 0 ? 1.7 : 0.7;
    }
    fleet.run(std::chrono::seconds(4));
    double slow = 0;
    double fast = 0;
    for (std::size_t i = 0; i < fleet.servers().size(); i++) {
        (i % 3 == 0 ? slow : fast) += i % 3 == 0 ? fleet.shareWithin(i, 1.3, 2.2) / 30 : fleet.shareWithin(i, 0.5, 0.85) / 60;
    }
    EXPECT_GT(slow, 0.95);
    EXPECT_GT(fast, 0.95);
}

// A server of 90 slows down five times without a word, under 600 streams a second at 88 VMs.
TEST(PaceTracker, AServerThatSlowsDownFiveTimesIsKnownByAllVmsWithinASecondOrSo)
{
    Fleet fleet(ManyVms);
    fleet.run(std::chrono::seconds(4));
    EXPECT_EQ(fleet.shareWithin(0, 0.8, 1.2), 1);
    fleet.servers()[0].moment = 5;
    fleet.run(milliseconds(1200));
    EXPECT_GT(fleet.shareWithin(0, 1.3, 8), 0.9);
    fleet.run(milliseconds(1800));
    EXPECT_GT(fleet.shareWithin(0, 2, 8), 0.95);
    fleet.servers()[0].moment = 1;
    fleet.run(std::chrono::seconds(6));
    EXPECT_GT(fleet.shareWithin(0, 0.8, 1.4), 0.9) << "it has recovered";
}

// Two of 8 servers are four times as slow and say so; 80 plain requests a second at 4 VMs.
TEST(PaceTracker, AToldPaceIsKnownAtOnce)
{
    Fleet fleet({});
    for (ServerState &server : fleet.servers()) {
        server.announces = true;
    }
    fleet.run(std::chrono::seconds(3));
    fleet.servers()[0].moment = fleet.servers()[1].moment = 4;
    fleet.run(milliseconds(800));
    EXPECT_EQ(fleet.shareWithin(0, 1.8, 6), 1);
    EXPECT_EQ(fleet.shareWithin(1, 1.8, 6), 1);
    EXPECT_EQ(fleet.shareWithin(2, 0.5, 1.2), 1);
}

// Other servers are slow each 600 ms; 230 plain requests a second at 4 VMs.
TEST(PaceTracker, APaceThatMovesEach600MsIsFollowedWhereItIsTold)
{
    const auto errorWith = [](bool announces) {
        Fleet fleet({.requestsPerSecond = 230, .unitTime = milliseconds(30)});
        std::mt19937 random(3);
        double error = 0;
        for (int period = 0; period < 20; period++) {
            for (ServerState &server : fleet.servers()) {
                server.announces = announces;
                server.moment = random() % 7 == 0 ? 2.5 : 1;
            }
            fleet.run(milliseconds(400));
            error += fleet.meanError();
            fleet.run(milliseconds(200));
        }
        return error / 20;
    };
    const double told = errorWith(true);
    const double untold = errorWith(false);
    EXPECT_LT(told, 0.15);
    EXPECT_LT(told, 0.6 * untold);
}

// One of 8 servers announces that it is many times as fast, or as slow, and is like the others. One that claims to be slow gets less, as it asks.
TEST(PaceTracker, ALiarGetsNeitherAllWorkNorNone)
{
    for (const double lie : {0.01, 0.25, 8.0, 100.0}) {
        Fleet fleet({});
        fleet.servers()[0].announces = true;
        fleet.servers()[0].lie = lie;
        fleet.run(std::chrono::seconds(6));
        EXPECT_EQ(fleet.shareWithin(0, 0.5, lie < 1 ? 1.5 : 4), 1) << lie;
        for (std::size_t server = 1; server < 8; server++) {
            EXPECT_EQ(fleet.shareWithin(server, 1, 1), 1) << lie;
        }
    }
}

// One of 8 servers answers without doing the work.
TEST(PaceTracker, AServerThatAnswersAtOnceDoesNotMakeTheOthersSlow)
{
    Fleet fleet({});
    fleet.servers()[0].speed = 0.001;
    fleet.run(std::chrono::seconds(6));
    EXPECT_EQ(fleet.shareWithin(0, 0.25, 0.6), 1);
    for (std::size_t server = 1; server < 8; server++) {
        EXPECT_EQ(fleet.shareWithin(server, 0.8, 1.3), 1);
    }
}

// A slow server starts again; it has another instance then.
TEST(PaceTracker, AServerThatStartsAnewIsUnknownAgain)
{
    Fleet fleet({});
    fleet.servers()[0].speed = 4;
    fleet.run(std::chrono::seconds(6));
    EXPECT_EQ(fleet.shareWithin(0, 1.8, 8), 1);
    fleet.servers()[0].instance = "server-0-again";
    EXPECT_EQ(fleet.shareWithin(0, 1, 1), 1);
}

// 88 VMs in 8 groups, and 300 in 12, with servers of many speeds that announce their pace: what a VM sends of it.
TEST(PaceTracker, StatusesStaySmallAt88And300Vms)
{
    for (const Size &size : {ManyVms, Size{300, 25, 700, 2000, 24, milliseconds(30)}}) {
        Fleet fleet(size);
        for (std::size_t i = 0; i < fleet.servers().size(); i++) {
            fleet.servers()[i].speed = i % 3 == 0 ? 1.7 : 0.7;
            fleet.servers()[i].announces = true;
            fleet.servers()[i].moment = i % 7 == 0 ? 2.5 : 1;
        }
        fleet.run(std::chrono::seconds(2));
        RecordProperty(fmt::format("status_bytes_{}", size.vms), static_cast<int>(fleet.maxStatusBytes()));
        RecordProperty(fmt::format("summary_bytes_{}", size.vms), static_cast<int>(fleet.maxSummaryBytes()));
        EXPECT_LT(fleet.maxStatusBytes(), 300);
        EXPECT_LT(fleet.maxSummaryBytes(), 360);
    }
}

/// Trackers of a few VMs that are told what the test says.
class PaceTrackers : public testing::Test
{
protected:
    PaceTrackers()
        : loop_(std::move(EventLoop::create(clock_).value()))
        , log_(eventlog::EventLog::create(clock_,
              "vm",
              [this](std::string_view lines) {
                  written_ += lines;
                  return true;
              }))
        , tracker_(PaceTracker::create(*loop_, log_))
    {
    }

    void noteAnswers(const std::string &server, int count, milliseconds time)
    {
        for (int i = 0; i < count; i++) {
            tracker_->noteAnswer(server, Service, time);
        }
    }

    void noteEvenServers()
    {
        for (const char *server : {"a", "b", "c", "d"}) {
            noteAnswers(server, 50, milliseconds(30));
        }
    }

    void advance(milliseconds time)
    {
        clock_.advance(time);
        tracker_->tick();
    }

    static presence::Status statusOf(const std::string &vm, std::vector<presence::ServerPace> paces)
    {
        presence::Status status;
        status.instance = vm;
        status.paces = std::move(paces);
        return status;
    }

    static presence::ServerPace toldPace(const std::string &server, WorkSums work)
    {
        return {presence::shortHash(server), presence::shortHash(Service), work, std::nullopt, Duration(0)};
    }

    PaceEstimate paceOf(const std::string &server) const
    {
        return tracker_->paceOf(presence::nameHash(server), Service);
    }

    ManualClock clock_;
    std::unique_ptr<EventLoop> loop_;
    std::string written_;
    std::shared_ptr<eventlog::EventLog> log_;
    std::shared_ptr<PaceTracker> tracker_;
};

TEST_F(PaceTrackers, FewObservationsChangeNothing)
{
    noteEvenServers();
    noteAnswers("new", 2, milliseconds(900));
    advance(milliseconds(250));
    EXPECT_EQ(paceOf("new").factor, 1);
    EXPECT_EQ(paceOf("never seen").factor, 1);
}

TEST_F(PaceTrackers, WhatAPeerSaysCountsUntilItsNextStatusOrItsSilence)
{
    noteEvenServers();
    tracker_->applyPeer(statusOf("peer", {toldPace("a", {10, 10, 50})}));
    advance(milliseconds(250));
    EXPECT_GT(paceOf("a").factor, 2);
    tracker_->applyPeer(statusOf("peer", {}));
    advance(milliseconds(250));
    EXPECT_EQ(paceOf("a").factor, 1);
    tracker_->applyPeer(statusOf("peer", {toldPace("a", {10, 10, 50})}));
    advance(milliseconds(250));
    EXPECT_GT(paceOf("a").factor, 2);
    for (int i = 0; i < 14; i++) {
        noteEvenServers();
        advance(milliseconds(250));
    }
    EXPECT_EQ(paceOf("a").factor, 1);
}

TEST_F(PaceTrackers, ImpossibleSumsOfAPeerAreLeftOut)
{
    noteEvenServers();
    tracker_->applyPeer(statusOf("peer", {toldPace("a", {std::nan(""), 1, 50}), toldPace("b", {-5, -5, 50}), toldPace("c", {1e300, 1e300, 50})}));
    advance(milliseconds(250));
    for (const char *server : {"a", "b", "c", "d"}) {
        EXPECT_EQ(paceOf(server).factor, 1) << server;
    }
}

TEST_F(PaceTrackers, TheYoungestAnnouncementCounts)
{
    tracker_->noteAnnounced("a", 4);
    EXPECT_EQ(paceOf("a").factor, 4);
    presence::ServerPace older = toldPace("a", {});
    older.announced = 2;
    older.announcedAge = milliseconds(200);
    tracker_->applyPeer(statusOf("peer", {older}));
    EXPECT_EQ(paceOf("a").factor, 4);
    clock_.advance(milliseconds(100));
    older.announcedAge = milliseconds(20);
    tracker_->applyPeer(statusOf("peer", {older}));
    EXPECT_EQ(paceOf("a").factor, 2);
    clock_.advance(milliseconds(700));
    EXPECT_EQ(paceOf("a").factor, 1);
    EXPECT_FALSE(paceOf("a").announced);
}

TEST_F(PaceTrackers, AnAnnouncementThatCanNotBeTrueIsNone)
{
    for (const double factor : {0.0, -1.0, 1e6, std::nan("")}) {
        tracker_->noteAnnounced("a", factor);
        EXPECT_EQ(paceOf("a").factor, 1) << factor;
    }
}

TEST_F(PaceTrackers, TheTimeToTheFirstByteIsLearntFromPeers)
{
    presence::Status status = statusOf("peer", {});
    FirstByteSums sums;
    for (int i = 0; i < 100; i++) {
        note(sums, 100 * i, milliseconds(20 + i));
    }
    status.firstBytes = {{presence::shortHash(Service), sums}};
    tracker_->applyPeer(status);
    advance(milliseconds(250));
    ASSERT_TRUE(tracker_->firstByteModel(Service));
    EXPECT_NEAR(tracker_->firstByteModel(Service)->tokensPerSecond, 100'000, 1'000);
    EXPECT_FALSE(tracker_->firstByteModel("other"));
}

TEST_F(PaceTrackers, AServerThatLeavesTheMeanIsLoggedOnce)
{
    for (int i = 0; i < 12; i++) {
        noteEvenServers();
        noteAnswers("slow", 50, milliseconds(120));
        advance(milliseconds(250));
    }
    EXPECT_EQ(tracker_->counts().slower, 1U);
    EXPECT_EQ(tracker_->counts().faster, 0U);
    const std::string line = R"("event":"server_pace")";
    const auto first = written_.find(line);
    ASSERT_NE(first, std::string::npos);
    EXPECT_EQ(written_.find(line, first + 1), std::string::npos) << written_;
    EXPECT_NE(written_.find(R"("outcome":"slower")"), std::string::npos);
}

TEST_F(PaceTrackers, AllIsForgottenInTheEnd)
{
    noteEvenServers();
    tracker_->noteAnnounced("e", 2);
    tracker_->applyPeer(statusOf("peer", {toldPace("f", {10, 10, 50})}));
    advance(std::chrono::seconds(1));
    EXPECT_EQ(tracker_->pacesToShare().size(), 4U);
    for (int i = 0; i < 60; i++) {
        advance(std::chrono::seconds(1));
    }
    EXPECT_TRUE(tracker_->pacesToShare().empty());
    EXPECT_EQ(paceOf("f").factor, 1);
}

} // namespace

} // namespace cardamomlift::pace
