// What entry VMs make of servers that announce in their answers that they crash when they must refuse too many requests.

#include "support/routefleet.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>

using namespace cardamomlift;
using test::RouteFleet;
using test::TestCallPtr;

namespace {

using std::chrono::milliseconds;

constexpr int Entries = 4;
constexpr int Workers = 6;
constexpr int StatusOk = 200;
constexpr int StatusUnavailable = 503;
/// Refusals in a second that a server bears, of all VMs together.
constexpr int RefusalsPerSecond = 5;
/// Requests that a server has room for, from three seconds after it has said so; each takes WorkTime.
constexpr int Room = 4;
constexpr milliseconds WorkTime(100);
constexpr milliseconds LoadTime(10000);
/// Crashes that are allowed while servers announce it.
constexpr int AllowedCrashes = 2 + Workers / 10;

/// The parameters are the kind of route, as in the fleet's manifest, and the time between two requests at each VM.
class OverloadCrashes : public testing::TestWithParam<std::tuple<std::string, int>>
{
protected:
    OverloadCrashes()
        : fleet_(Entries, Workers)
    {
        fleet_.waitReady();
        fleet_.waitKnown();
        // By then each VM has been granted the retries that it may save up.
        waitFor(milliseconds(3000));
        Json::Value control;
        control["delayMs"] = Json::Int64(WorkTime.count());
        control["refusalsBorne"] = RefusalsPerSecond;
        control["room"] = Room;
        for (const std::string &worker : fleet_.workerNames()) {
            fleet_.controlWorker(worker, control);
        }
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

    void sendFor(milliseconds time)
    {
        const auto &[kind, period] = GetParam();
        const TimePoint end = now() + time;
        while (now() < end) {
            for (int entry = 1; entry <= Entries; entry++) {
                calls_.push_back(fleet_.caller.start(fleet_.request(entry, fmt::format("/{}/1", kind), fmt::format("id-{}", calls_.size()))));
            }
            waitFor(milliseconds(period));
        }
        fleet_.caller.waitEnded(calls_, "all requests end");
    }

    int crashes()
    {
        int sum = 0;
        for (const std::string &worker : fleet_.workerNames()) {
            sum += fleet_.controlWorker(worker)["crashes"].asInt();
        }
        return sum;
    }

    RouteFleet fleet_;
    std::vector<TestCallPtr> calls_;
};

// Guards against servers that crash one after the other, each by the requests that the one before has refused.
TEST_P(OverloadCrashes, AreNotCausedByWhatServersRefuse)
{
    sendFor(LoadTime);
    const auto served = std::count_if(calls_.begin(), calls_.end(), [](const TestCallPtr &call) { return call->status == StatusOk; });
    const auto refused = std::count_if(calls_.begin(), calls_.end(), [](const TestCallPtr &call) {
        return call->status == StatusUnavailable && std::atof(std::string(http::headerValue(call->headers, "Retry-After")).c_str()) > 0;
    });
    const int crashed = crashes();
    std::printf("%s, every %d ms at each VM: %zu of %zu served, %zu refused with a time, %d crashes\n",
        std::get<std::string>(GetParam()).c_str(),
        std::get<int>(GetParam()),
        static_cast<std::size_t>(served),
        calls_.size(),
        static_cast<std::size_t>(refused),
        crashed);
    EXPECT_LE(crashed, AllowedCrashes);
}

INSTANTIATE_TEST_SUITE_P(Routes, OverloadCrashes, testing::Combine(testing::Values("safe", "once"), testing::Values(10, 16)), [](const auto &param) {
    return fmt::format("{}_{}ms", std::get<std::string>(param.param), std::get<int>(param.param));
});

} // namespace
