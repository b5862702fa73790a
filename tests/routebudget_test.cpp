// The bounds on repeated sends of one request, on the time handed on to servers, and on the repeats of all VMs together, counted
// at the servers.

#include "support/arrivals.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <csignal>
#include <map>

using namespace cardamomlift;
using test::Arrival;
using test::RepeatBound;
using test::RouteFleet;
using test::TestCallPtr;

namespace {

using std::chrono::milliseconds;

constexpr int Entries = 4;
constexpr int Workers = 6;
/// As in the fleet's manifest.
const std::map<std::string, int> MaxAttempts{{"safe", 2}, {"once", 1}, {"stream", 3}, {"single", 1}};
/// As in the fleet's settings.
const RepeatBound Bound;
/// What a request may be granted beyond its caller's time.
constexpr milliseconds TimeMargin(500);

Json::Value fault(const char *name, const Json::Value &value = true)
{
    Json::Value json;
    json[name] = value;
    return json;
}

struct Sent {
    std::string route;
    TimePoint at;
    milliseconds timeLimit{0};
    TestCallPtr call;
};

class RouteBudget : public testing::Test
{
protected:
    RouteBudget()
        : fleet_(Entries, Workers)
    {
        fleet_.waitReady();
        fleet_.waitKnown();
    }

    TimePoint now()
    {
        return fleet_.caller.loop().now();
    }

    void waitFor(milliseconds time)
    {
        const TimePoint end = now() + time;
        fleet_.caller.waitUntil([&] { return now() >= end; }, "time passes");
    }

    void send(const std::string &route, milliseconds timeLimit)
    {
        const std::string id = fmt::format("id-{}", sent_.size());
        http::ClientRequest request = fleet_.request(static_cast<int>(sent_.size()) % Entries + 1, fmt::format("/{}/1", route), id);
        request.headers["X-Deadline-Ms"] = std::to_string(timeLimit.count());
        sent_[id] = {route, now(), timeLimit, fleet_.caller.start(request)};
    }

    void waitEnded()
    {
        std::vector<TestCallPtr> calls;
        for (const auto &[id, sent] : sent_) {
            calls.push_back(sent.call);
        }
        fleet_.caller.waitEnded(calls, "all requests end");
    }

    RouteFleet fleet_;
    std::map<std::string, Sent> sent_; ///< By id.
};

// Guards against a request that runs on more servers than its route allows, whatever its servers do.
TEST_F(RouteBudget, ARequestRunsOnNoMoreServersThanItsRouteAllows)
{
    const std::vector<Json::Value> faults{fault("resets"), fault("fails"), fault("full"), fault("silent"), fault("breakAfter", 2), fault("eventGapMs", 20)};
    for (int round = 0; round < 6; round++) {
        for (int worker = 0; worker < Workers; worker++) {
            Json::Value off = fault("breakAfter", -1);
            for (const char *name : {"resets", "fails", "full", "silent"}) {
                off[name] = false;
            }
            fleet_.controlWorker(fmt::format("worker-{}", worker + 1), off);
            fleet_.controlWorker(fmt::format("worker-{}", worker + 1), faults[static_cast<std::size_t>(worker + round) % faults.size()]);
        }
        for (int i = 0; i < 10; i++) {
            for (const auto &[route, attempts] : MaxAttempts) {
                send(route, milliseconds(4000));
            }
            waitFor(milliseconds(30));
        }
        // The processes run late, and a server that does not take connections at first does so later.
        fleet_.entry(round % Entries + 1).signal(SIGSTOP);
        fleet_.worker(fmt::format("worker-{}", round % Workers + 1)).signal(SIGSTOP);
        waitFor(milliseconds(600));
        fleet_.entry(round % Entries + 1).signal(SIGCONT);
        fleet_.worker(fmt::format("worker-{}", round % Workers + 1)).signal(SIGCONT);
    }
    waitEnded();
    int most = 0;
    for (const auto &[id, runs] : fleet_.allRuns()) {
        most = std::max(most, runs);
        EXPECT_LE(runs, MaxAttempts.at(sent_.at(id).route)) << id << " of " << sent_.at(id).route;
    }
    EXPECT_GT(most, 1) << "some are repeated";
}

// Guards against servers that work on a request for longer than its caller waits, also when it was sent late or again.
TEST_F(RouteBudget, ServersAreGivenNoMoreTimeThanTheCallerHasLeft)
{
    for (int round = 0; round < 4; round++) {
        fleet_.controlWorker("worker-1", fault("silent"));
        fleet_.controlWorker("worker-2", fault("resets"));
        fleet_.controlWorker("worker-3", fault("full"));
        for (int i = 0; i < 10; i++) {
            for (const auto &[route, attempts] : MaxAttempts) {
                send(route, milliseconds(2500 + 500 * i));
            }
            waitFor(milliseconds(50));
        }
        // Requests that arrive meanwhile are read late.
        fleet_.entry(round + 1).signal(SIGSTOP);
        send("safe", milliseconds(3000));
        send("stream", milliseconds(3000));
        waitFor(milliseconds(1200));
        fleet_.entry(round + 1).signal(SIGCONT);
        waitFor(milliseconds(400));
        fleet_.controlWorker("worker-1", fault("silent", false));
    }
    waitEnded();
    int repeatedLate = 0;
    for (const auto &[id, arrivals] : arrivalsById(fleet_.allArrivals())) {
        const Sent &sent = sent_.at(id);
        const TimePoint firstEnd = arrivals.front().at + arrivals.front().left;
        const TimePoint callersEnd = sent.at + sent.timeLimit;
        for (const Arrival &arrival : arrivals) {
            EXPECT_GE(arrival.left, milliseconds(0)) << id << " says how long it may take";
            EXPECT_LE(arrival.left, sent.timeLimit + TimeMargin) << id;
            if (arrival.at - arrivals.front().at > TimeMargin) {
                repeatedLate++;
                EXPECT_LE(arrival.at - arrival.lag + arrival.left, std::max(firstEnd, callersEnd) + TimeMargin) << id;
            }
        }
    }
    EXPECT_GT(repeatedLate, 0) << "some are sent again late";
}

// Guards against repeats beyond the budget that all VMs share, when their processes are restarted again and again.
TEST_F(RouteBudget, AllVmsTogetherKeepToTheBudgetWhileTheyAreRestarted)
{
    for (const std::string &worker : fleet_.workerNames()) {
        fleet_.controlWorker(worker, fault("resets"));
    }
    // By then each VM has been granted all that it may have unspent.
    waitFor(std::chrono::duration_cast<milliseconds>(Bound.window) + milliseconds(500));
    constexpr milliseconds RestartPeriod(1500);
    constexpr milliseconds RequestPeriod(12);
    const TimePoint end = now() + Bound.window + Bound.window / 2;
    TimePoint nextRestart = now() + RestartPeriod;
    while (now() < end) {
        send("safe", milliseconds(4000));
        waitFor(RequestPeriod);
        if (now() < nextRestart) {
            continue;
        }
        nextRestart += RestartPeriod;
        for (int entry = 1; entry <= Entries; entry++) {
            fleet_.entry(entry).signal(SIGKILL);
        }
        for (int entry = 1; entry <= Entries; entry++) {
            fleet_.entry(entry).wait();
            fleet_.addEntry(entry);
        }
    }
    waitEnded();
    std::vector<TimePoint> requests;
    for (const auto &[id, sent] : sent_) {
        requests.push_back(sent.at);
    }
    const std::vector<TimePoint> repeats = repeatTimes(arrivalsById(fleet_.allArrivals()));
    const double most = mostBeyondBound(requests, repeats, Bound);
    std::printf("%zu requests, %zu repeats, %.1f beyond the budget at most\n", requests.size(), repeats.size(), most);
    EXPECT_GT(repeats.size(), Bound.slack / 4) << "they are repeated";
    EXPECT_LE(most, 0);
}

} // namespace
