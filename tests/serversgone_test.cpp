// Servers whose processes have ended while the platform's list still has them.

#include "support/routefleet.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <csignal>
#include <cstdio>

using namespace cardamomlift;
using std::chrono::milliseconds;
using test::RouteFleet;
using test::TestCallPtr;

namespace {

constexpr int Entries = 4;
constexpr int Workers = 12;
constexpr int StatusOk = 200;
constexpr int StatusUnavailable = 503;
constexpr milliseconds RequestPeriod(50);
constexpr int RoundsBefore = 20;
constexpr int Rounds = 60;
/// The first server ends a little before the others, with requests in flight.
constexpr int RoundsAfterFirstEnd = 4;
constexpr int AnswerTimeMs = 120;

/// Requests with one prompt but for its last part, at all VMs.
class PromptRequests
{
public:
    explicit PromptRequests(RouteFleet &fleet)
        : fleet_(fleet)
    {
    }

    void send(int rounds)
    {
        for (int round = 0; round < rounds; round++) {
            for (int entry = 1; entry <= Entries; entry++) {
                http::ClientRequest request = fleet_.request(entry, round % 2 == 0 ? "/once/1" : "/stream/1", fmt::format("request-{}", calls_.size()));
                request.headers["X-Prompt-Prefix"] = fmt::format("a1:800,b2:410,{:x}:250", calls_.size() + 1000);
                calls_.push_back(fleet_.caller.start(request));
            }
            const TimePoint next = fleet_.caller.loop().now() + RequestPeriod;
            fleet_.caller.waitUntil([&] { return fleet_.caller.loop().now() >= next; }, "the next round");
        }
    }

    std::size_t countServed()
    {
        fleet_.caller.waitEnded(calls_, "the requests end");
        return static_cast<std::size_t>(std::count_if(calls_.begin(), calls_.end(), [](const TestCallPtr &call) { return call->status == StatusOk; }));
    }

    /// Requests that were told that they have not run.
    std::size_t countRefused() const
    {
        return static_cast<std::size_t>(std::count_if(calls_.begin(), calls_.end(), [](const TestCallPtr &call) { return call->status == StatusUnavailable; }));
    }

    std::size_t count() const
    {
        return calls_.size();
    }

private:
    RouteFleet &fleet_;
    std::vector<TestCallPtr> calls_;
};

/// The workers that have run the most requests come first.
std::vector<std::string> workersByRuns(RouteFleet &fleet)
{
    std::vector<std::pair<unsigned, std::string>> ranked;
    for (const std::string &worker : fleet.workerNames()) {
        ranked.emplace_back(fleet.controlWorker(worker)["runs"].size(), worker);
    }
    std::sort(ranked.rbegin(), ranked.rend());
    std::vector<std::string> workers;
    workers.reserve(ranked.size());
    for (const auto &[runs, worker] : ranked) {
        workers.push_back(worker);
    }
    return workers;
}

class ServersGone : public testing::TestWithParam<std::size_t>
{
};

// Guards against VMs that ask one ended server after the other, as these have the prompt in their caches, and refuse the request while others live.
TEST_P(ServersGone, RequestsAreServedByThoseThatAreLeft)
{
    RouteFleet fleet(Entries, Workers);
    fleet.waitReady();
    fleet.waitKnown();
    for (const std::string &worker : fleet.workerNames()) {
        Json::Value pace;
        pace["delayMs"] = AnswerTimeMs;
        fleet.controlWorker(worker, pace);
    }
    PromptRequests requests(fleet);
    requests.send(RoundsBefore);
    ASSERT_EQ(requests.countServed(), requests.count());
    requests.send(1);
    const std::vector<std::string> workers = workersByRuns(fleet);
    for (std::size_t i = 0; i < GetParam(); i++) {
        fleet.worker(workers[i]).signal(SIGKILL);
        fleet.worker(workers[i]).wait();
        if (i == 0) {
            requests.send(RoundsAfterFirstEnd);
        }
    }
    requests.send(Rounds);
    const std::size_t served = requests.countServed();
    std::printf("%zu of %zu served, %zu refused\n", served, requests.count(), requests.countRefused());
    EXPECT_EQ(requests.countRefused(), 0U);
}

INSTANTIATE_TEST_SUITE_P(Ended, ServersGone, testing::Values(4, 6, 9));

} // namespace
