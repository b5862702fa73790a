// VMs that share the slots of servers, and servers that crash when they must refuse too many, on a clock of the test's own.

#include "overload/overloadrules.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <random>
#include <vector>

namespace cardamomlift::overload {

namespace {

using std::chrono::milliseconds;

struct Deployment {
    std::size_t vms = 9;
    std::size_t servers = 4;
    int refusalsPerSecond = 5;
    int listedSlots = 6;
    std::size_t room = 6; ///< Requests that a server runs at once, and none waits.
    Duration serviceTime = milliseconds(60);
    double load = 1.5; ///< Requests, as a multiple of what the servers can run.
};

struct Server {
    std::vector<TimePoint> ends; ///< Of the requests that run.
    std::deque<TimePoint> refusals; ///< Of the last second.
    TimePoint downUntil;
    int crashes = 0;

    bool isDown(TimePoint now) const
    {
        return now < downUntil;
    }

    /// Returns false if it refuses the request.
    bool take(const Deployment &deployment, TimePoint now, TimePoint endsAt)
    {
        std::erase_if(ends, [now](TimePoint end) { return end <= now; });
        if (ends.size() < deployment.room) {
            ends.push_back(endsAt);
            return true;
        }
        refusals.push_back(now);
        while (now - refusals.front() > std::chrono::seconds(1)) {
            refusals.pop_front();
        }
        if (refusals.size() > static_cast<std::size_t>(deployment.refusalsPerSecond)) {
            crashes++;
            refusals.clear();
            ends.clear();
            downUntil = now + std::chrono::seconds(3);
        }
        return false;
    }
};

struct Outcome {
    int crashes = 0;
    int asked = 0;
    int served = 0;
};

class Model
{
public:
    Model(const Deployment &deployment, std::uint32_t seed)
        : deployment_(deployment)
        , random_(seed)
        , servers_(deployment.servers)
        , views_(deployment.vms, std::vector<View>(deployment.servers))
    {
        for (std::size_t vm = 0; vm < deployment.vms; vm++) {
            vmHashes_.push_back((vm + 1) * 0x9E3779B97F4A7C15ULL);
        }
        std::sort(vmHashes_.begin(), vmHashes_.end());
        for (auto &ofVm : views_) {
            for (View &view : ofVm) {
                view.capacity = initialCapacity(deployment.listedSlots, now_);
            }
        }
    }

    Outcome run(Duration time)
    {
        const double perSecond =
            deployment_.load * static_cast<double>(deployment_.servers * deployment_.room) / std::chrono::duration<double>(deployment_.serviceTime).count();
        std::exponential_distribution<double> gap(perSecond);
        const TimePoint end = now_ + time;
        while (now_ < end) {
            now_ += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap(random_)));
            outcome_.asked++;
            ask(random_() % deployment_.vms);
        }
        for (const Server &server : servers_) {
            outcome_.crashes += server.crashes;
        }
        return outcome_;
    }

private:
    /// What one VM knows of one server.
    struct View {
        ServerCapacity capacity;
        std::vector<TimePoint> ends; ///< Of its open requests.
    };

    void ask(std::size_t vm)
    {
        const std::size_t first = random_() % servers_.size();
        for (std::size_t i = 0; i < servers_.size(); i++) {
            const std::size_t chosen = (first + i) % servers_.size();
            if (hasRoom(vm, chosen)) {
                send(servers_[chosen], views_[vm][chosen]);
                return;
            }
        }
    }

    bool hasRoom(std::size_t vm, std::size_t server)
    {
        View &view = views_[vm][server];
        std::erase_if(view.ends, [this](TimePoint end) { return end <= now_; });
        grow(view.capacity, now_);
        const Turn turn = turnAt(now_.time_since_epoch(), turnLength(deployment_.serviceTime));
        const int owned = ownedSlots(vmHashes_, vmHashes_[vm], server + 1, static_cast<int>(view.capacity.slots), turn.number);
        return now_ >= view.capacity.pausedUntil && mayStart(turn, deployment_.serviceTime) && view.ends.size() < static_cast<std::size_t>(owned);
    }

    /// Half to twice the usual time.
    Duration drawServiceTime()
    {
        std::uniform_real_distribution<double> factor(0.5, 1.5);
        return std::chrono::duration_cast<Duration>(deployment_.serviceTime * factor(random_));
    }

    void send(Server &server, View &view)
    {
        const TimePoint end = now_ + drawServiceTime();
        if (server.isDown(now_)) {
            noteDown(view.capacity, now_);
        } else if (server.take(deployment_, now_, end)) {
            outcome_.served++;
            view.ends.push_back(end);
        } else {
            noteRefused(view.capacity, {deployment_.refusalsPerSecond, deployment_.vms}, now_);
        }
    }

    Deployment deployment_;
    std::mt19937 random_;
    TimePoint now_{std::chrono::hours(1)};
    std::vector<Server> servers_;
    std::vector<std::uint64_t> vmHashes_;
    std::vector<std::vector<View>> views_; ///< By VM and server.
    Outcome outcome_;
};

/// Crashes that are allowed while servers announce it.
int allowedCrashes(const Deployment &deployment)
{
    return 2 + static_cast<int>(deployment.servers) / 10;
}

class OverloadModel : public testing::TestWithParam<std::uint32_t>
{
protected:
    void play(const Deployment &deployment)
    {
        const Outcome outcome = Model(deployment, GetParam()).run(std::chrono::seconds(20));
        EXPECT_LE(outcome.crashes, allowedCrashes(deployment)) << outcome.served << " of " << outcome.asked << " served";
        // Refusing everything would keep the servers up too.
        EXPECT_GE(outcome.served * deployment.load * 3, outcome.asked) << "a third of what the servers could run";
    }
};

TEST_P(OverloadModel, NineVmsKeepServersWithTheirSlotsUp)
{
    play({});
}

TEST_P(OverloadModel, ServersWithLessRoomThanSlotsStayUp)
{
    Deployment deployment;
    deployment.vms = 4;
    deployment.servers = 6;
    deployment.listedSlots = 16;
    deployment.room = 4;
    deployment.serviceTime = milliseconds(100);
    play(deployment);
}

TEST_P(OverloadModel, ServersThatBearFewRefusalsStayUp)
{
    Deployment deployment;
    deployment.refusalsPerSecond = 2;
    play(deployment);
}

TEST_P(OverloadModel, LongRequestsAtManyServersStayWithinTheRule)
{
    Deployment deployment;
    deployment.servers = 20;
    deployment.listedSlots = 64;
    deployment.room = 64;
    deployment.serviceTime = std::chrono::seconds(2);
    deployment.load = 1.2;
    play(deployment);
}

INSTANTIATE_TEST_SUITE_P(Seeds, OverloadModel, testing::Range<std::uint32_t>(1, 41));

} // namespace

} // namespace cardamomlift::overload
