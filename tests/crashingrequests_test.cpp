// Requests of routes that crash each server that runs them, repeated by their callers at one VM after another.

#include "support/crashingrun.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>

using namespace cardamomlift;
using test::CrashingRun;
using test::TestCallPtr;

namespace {

using std::chrono::milliseconds;

constexpr int StatusBadRequest = 400;
/// Once all VMs know of three crashes, so many more servers may be reached.
constexpr std::size_t MaxLateCrashes = 3;
/// The crashing request is repeated for this long after its third crash.
constexpr milliseconds RepeatedFor(10000);
constexpr milliseconds LongestRun(40000);

void expectBounds(CrashingRun &run)
{
    run.run(RepeatedFor, LongestRun);
    std::printf("%zu crashes, %zu late, %zu of %zu other requests answered\n", run.crashes(), run.lateCrashes(), run.othersAnswered(), run.others());
    EXPECT_LE(run.lateCrashes(), MaxLateCrashes);
    for (const TestCallPtr &call : run.lastAnswers()) {
        EXPECT_EQ(call->status, StatusBadRequest) << "a final answer";
        EXPECT_EQ(http::headerValue(call->headers, "Retry-After"), "") << "nothing invites it back";
    }
    EXPECT_TRUE(run.othersAreServed());
}

class CrashingRequests : public testing::TestWithParam<const char *>
{
};

// Guards against a request that crashes its servers and is sent to more of them without end, on any kind of route.
TEST_P(CrashingRequests, ReachAtMostThreeServersOnceAllVmsKnowOfThreeCrashes)
{
    CrashingRun::Options options;
    options.targets = {fmt::format("/{}", GetParam())};
    CrashingRun run(std::move(options));
    expectBounds(run);
}

INSTANTIATE_TEST_SUITE_P(Routes,
    CrashingRequests,
    testing::Values("safe/crash", "once/crash", "stream/crash", "single/crash", "stream/crash-late", "single/crash-late"),
    [](const auto &info) {
        std::string name = info.param;
        std::erase_if(name, [](char c) { return c == '/' || c == '-'; });
        return name;
    });

// Guards against a cause that is not found among the many requests that run beside it and are not repeated.
TEST(CrashingRequest, IsFoundAmongManyThatAreNotRepeated)
{
    CrashingRun::Options options;
    options.targets = {"/once/crash"};
    options.workers = 4;
    options.otherPeriod = milliseconds(10);
    options.otherPaths = {"/once/other", "/single/other", "/safe/other", "/stream/other"};
    CrashingRun run(std::move(options));
    Json::Value pace;
    pace["delayMs"] = 200;
    pace["eventGapMs"] = 60;
    for (const std::string &worker : run.fleet().workerNames()) {
        run.fleet().controlWorker(worker, pace);
    }
    expectBounds(run);
}

// Guards against two causes that hide each other.
TEST(CrashingRequest, IsFoundBesideAnother)
{
    CrashingRun::Options options;
    options.targets = {"/safe/crash", "/single/crash"};
    CrashingRun run(std::move(options));
    expectBounds(run);
}

} // namespace
