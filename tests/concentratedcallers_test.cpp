// Most callers reach one entry VM, as the platform's balancer hands it most new connections.

#include "support/routefleet.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <csignal>
#include <cstdio>

using namespace cardamomlift;
using std::chrono::milliseconds;
using test::RouteFleet;
using test::TestCallPtr;

namespace {

constexpr int Entries = 4;
constexpr int Workers = 8;
constexpr int StatusOk = 200;
constexpr int AnswerTimeMs = 50;
/// Requests come at this pace, over all VMs.
constexpr milliseconds RequestPeriod(12);
/// The servers' limits are known by then, and what follows is evenly spread at first.
constexpr milliseconds LearningTime(4000);
constexpr milliseconds EvenTime(3000);
constexpr milliseconds ConcentratedTime(6000);
/// From so long after most callers have come to one VM, requests are counted again.
constexpr milliseconds SettledAfter(3000);
/// Of ten requests, so many come at the first VM then.
constexpr int MostOfTen = 9;
/// Against the time before.
constexpr double LeastServed = 0.95;

/// What the servers announce of themselves.
struct Kind {
    std::string name;
    std::string path;
    std::string limit; ///< Requests a second that each server takes; empty: it names none.
    int refusalsBorne = -1; ///< A server crashes when it must refuse more than this within a second; -1: it bears any number.
    int room = 0; ///< Requests that such a server runs at once.
};

std::ostream &operator<<(std::ostream &out, const Kind &kind)
{
    return out << kind.name;
}

class CallerSpread
{
public:
    explicit CallerSpread(RouteFleet &fleet, std::string path)
        : fleet_(fleet)
        , path_(std::move(path))
    {
    }

    /// Sends for @p time; @p ofTen of ten requests come at the first VM, the others at the rest in turn, or all in turn if it is 0.
    std::vector<TestCallPtr> send(milliseconds time, int ofTen)
    {
        std::vector<TestCallPtr> calls;
        const TimePoint end = fleet_.caller.loop().now() + time;
        for (TimePoint next = fleet_.caller.loop().now(); next < end; next += RequestPeriod) {
            fleet_.caller.waitUntil([&] { return fleet_.caller.loop().now() >= next; }, "the next request");
            calls.push_back(fleet_.caller.start(fleet_.request(entryFor(sent_, ofTen), path_, fmt::format("request-{}", sent_))));
            sent_++;
        }
        return calls;
    }

private:
    static int entryFor(int number, int ofTen)
    {
        if (ofTen == 0) {
            return number % Entries + 1;
        }
        return number % 10 < ofTen ? 1 : 2 + number / 10 % (Entries - 1);
    }

    RouteFleet &fleet_;
    std::string path_;
    int sent_ = 0;
};

/// Share of @p calls that were served.
double servedOf(RouteFleet &fleet, const std::vector<TestCallPtr> &calls)
{
    fleet.caller.waitEnded(calls, "the requests end");
    std::size_t served = 0;
    for (const TestCallPtr &call : calls) {
        served += call->status == StatusOk ? 1 : 0;
    }
    std::printf("%zu of %zu served\n", served, calls.size());
    return static_cast<double>(served) / static_cast<double>(calls.size());
}

class ConcentratedCallers : public testing::TestWithParam<Kind>
{
};

// Guards against room at servers that lies idle at VMs without callers, while the VM that has them all refuses them.
TEST_P(ConcentratedCallers, AreServedAtOneVmAsOftenAsAtAll)
{
    const Kind &kind = GetParam();
    RouteFleet fleet(Entries, Workers);
    fleet.waitReady();
    fleet.waitKnown();
    for (const std::string &worker : fleet.workerNames()) {
        Json::Value control;
        control["delayMs"] = AnswerTimeMs;
        control["eventGapMs"] = AnswerTimeMs / 5;
        control["limit"] = kind.limit;
        control["refusalsBorne"] = kind.refusalsBorne;
        control["room"] = kind.room;
        fleet.controlWorker(worker, control);
    }
    CallerSpread callers(fleet, kind.path);
    servedOf(fleet, callers.send(LearningTime, 0));
    const double before = servedOf(fleet, callers.send(EvenTime, 0));
    servedOf(fleet, callers.send(SettledAfter, MostOfTen));
    const double after = servedOf(fleet, callers.send(ConcentratedTime, MostOfTen));
    EXPECT_GE(after, LeastServed * before);
    EXPECT_GE(before, LeastServed) << "there is room for all";
}

INSTANTIATE_TEST_SUITE_P(Servers,
    ConcentratedCallers,
    testing::Values(Kind{"plain", "/once/1", "", -1, 0},
        Kind{"streams", "/stream/1", "", -1, 0},
        Kind{"limited", "/once/1", "20", -1, 0},
        Kind{"brittle", "/once/1", "", 5, 4}),
    [](const auto &info) { return info.param.name; });

} // namespace
