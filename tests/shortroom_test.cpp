// Who is served while servers have less room than callers ask for.

#include "support/routefleet.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <random>

using namespace cardamomlift;
using test::RouteFleet;
using test::TestCallPtr;

namespace {

using std::chrono::milliseconds;

constexpr int Entries = 4;
constexpr int Workers = 8;
constexpr int Slots = 2;
constexpr int Queue = 6;
constexpr int WorkMs = 60;
/// Requests a second that the workers serve.
constexpr double Room = Workers * Slots * 1000.0 / WorkMs;
constexpr int StatusOk = 200;
constexpr int StatusUnavailable = 503;
constexpr milliseconds LoadTime(10000);
/// From then on the level must hold.
constexpr milliseconds Settled(1500);
constexpr milliseconds Step(2);

struct Load {
    std::string route;
    std::string key;
    double perSecond = 0;
    milliseconds goal{500};
};

/// What became of the requests of a load that came while it was measured.
struct Outcome {
    int asked = 0;
    int served = 0;
    int inTime = 0;
    std::vector<milliseconds> refusedAfter;
    int otherwise = 0;
};

class ShortRoom : public testing::Test
{
protected:
    ShortRoom()
        : fleet_(Entries, Workers)
    {
        Json::Value routes;
        routes.append(route("urgent", 0, 200));
        routes.append(route("usual", 1, 500));
        routes.append(route("batch", 2, 500));
        Json::Value customers;
        for (int i = 0; i < 2; i++) {
            customers[i]["name"] = fmt::format("customer-{}", i + 1);
            customers[i]["api_keys"].append(fmt::format("key-{}", i + 1));
        }
        fleet_.putManifest(2, routes, customers);
        fleet_.listSlots(Slots);
        Json::Value control;
        control["workMs"] = WorkMs;
        control["slots"] = Slots;
        control["queue"] = Queue;
        for (const std::string &worker : fleet_.workerNames()) {
            fleet_.controlWorker(worker, control);
        }
        fleet_.waitReady();
        fleet_.waitKnown();
        // By then the manifest and the slots are known at all VMs.
        waitFor(milliseconds(3000));
    }

    static Json::Value route(const std::string &name, int priority, int goalMs)
    {
        Json::Value route;
        route["name"] = name;
        route["host"] = "test";
        route["prefix"] = "/" + name + "/";
        route["kind"] = "safe";
        route["timeout_ms"] = 20000;
        route["latency_goal_ms"] = goalMs;
        route["priority"] = priority;
        route["service"] = "service";
        route["max_attempts"] = 2;
        return route;
    }

    TimePoint now()
    {
        return fleet_.caller.loop().now();
    }

    void waitFor(milliseconds time)
    {
        const TimePoint end = now() + time;
        fleet_.caller.waitUntil(
            [&] {
                noteEnds();
                return now() >= end;
            },
            "time passes");
    }

    std::vector<Outcome> run(const std::vector<Load> &loads)
    {
        outcomes_.assign(loads.size(), Outcome());
        std::vector<double> due(loads.size());
        startedAt_ = now();
        TimePoint last = startedAt_;
        while (now() - startedAt_ < LoadTime) {
            const TimePoint at = now();
            for (std::size_t i = 0; i < loads.size(); i++) {
                const double mean = loads[i].perSecond * std::chrono::duration<double>(at - last).count();
                for (int count = std::poisson_distribution<int>(mean)(random_); count > 0; count--) {
                    send(i, loads[i]);
                }
            }
            last = at;
            waitFor(Step);
        }
        fleet_.caller.waitUntil(
            [&] {
                noteEnds();
                return open_.empty();
            },
            "all requests end");
        print();
        return outcomes_;
    }

    void send(std::size_t index, const Load &load)
    {
        const int entry = 1 + static_cast<int>(random_() % Entries);
        const auto call = fleet_.caller.start(fleet_.request(entry, fmt::format("/{}/1", load.route), fmt::format("id-{}", nextId_++), load.key));
        const bool isMeasured = now() - startedAt_ >= Settled;
        open_.push_back({call, index, now(), load.goal, isMeasured});
    }

    void noteEnds()
    {
        const TimePoint at = now();
        std::erase_if(open_, [&](const OpenCall &open) {
            if (open.call->ended && open.isMeasured) {
                note(open, std::chrono::duration_cast<milliseconds>(at - open.sentAt));
            }
            return open.call->ended;
        });
    }

    void print() const
    {
        for (std::size_t i = 0; i < outcomes_.size(); i++) {
            const Outcome &outcome = outcomes_[i];
            const auto longest = std::max_element(outcome.refusedAfter.begin(), outcome.refusedAfter.end());
            std::printf("load %zu: asked %d, served %d, in time %.3f, refused %zu, longest %lld ms, otherwise %d\n",
                i,
                outcome.asked,
                outcome.served,
                static_cast<double>(outcome.inTime) / outcome.asked,
                outcome.refusedAfter.size(),
                static_cast<long long>(longest == outcome.refusedAfter.end() ? 0 : longest->count()),
                outcome.otherwise);
        }
    }

    static double measuredSeconds()
    {
        return std::chrono::duration<double>(LoadTime - Settled).count();
    }

    struct OpenCall {
        TestCallPtr call;
        std::size_t load = 0;
        TimePoint sentAt;
        milliseconds goal{0};
        bool isMeasured = false;
    };

    void note(const OpenCall &open, milliseconds took)
    {
        Outcome &outcome = outcomes_[open.load];
        outcome.asked++;
        if (open.call->status == StatusOk) {
            outcome.served++;
            outcome.inTime += took <= open.goal ? 1 : 0;
        } else if (open.call->status == StatusUnavailable) {
            outcome.refusedAfter.push_back(took);
        } else {
            outcome.otherwise++;
        }
    }

    RouteFleet fleet_;
    std::mt19937 random_{1};
    std::vector<OpenCall> open_;
    std::vector<Outcome> outcomes_;
    TimePoint startedAt_;
    int nextId_ = 0;
};

// Load: 130 urgent requests and 270 less urgent ones a second, at 1.5 times the room.
TEST_F(ShortRoom, IsLeftToTheUrgentFirst)
{
    const auto seen = run({{"urgent", "key-1", 130, milliseconds(200)}, {"batch", "key-1", 270, milliseconds(500)}});
    EXPECT_GE(seen[0].inTime, 0.95 * seen[0].asked);
    EXPECT_GE(seen[1].served, 0.8 * (Room * measuredSeconds() - seen[0].served));
    EXPECT_EQ(seen[1].otherwise, 0);
    for (const milliseconds after : seen[1].refusedAfter) {
        EXPECT_LE(after, milliseconds(100));
    }
}

// Load: 360 requests a second of one customer beside 50 of another.
TEST_F(ShortRoom, IsSharedBetweenCustomers)
{
    const auto seen = run({{"usual", "key-1", 360, milliseconds(500)}, {"usual", "key-2", 50, milliseconds(500)}});
    EXPECT_GE(seen[1].inTime, 0.95 * seen[1].asked);
    EXPECT_GE(seen[0].served, 0.8 * (Room * measuredSeconds() - seen[1].served));
}

// Load: 180 requests a second of two priorities, below the room.
TEST_F(ShortRoom, IsNotRationedWhenThereIsEnough)
{
    const auto seen = run({{"urgent", "key-1", 60, milliseconds(200)}, {"batch", "key-1", 120, milliseconds(500)}});
    EXPECT_EQ(seen[0].served, seen[0].asked);
    EXPECT_EQ(seen[1].served, seen[1].asked);
}

} // namespace
