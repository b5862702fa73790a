// Seen: repeats beyond the budget on three deployments of unlike load, four cases each, on real machines.
// How: a request that crashed each server that ran it was sent to the next one whenever its caller repeated it, by any VM.
// Cause: no VM of the route gateway knew which requests were in flight at a crash, and nothing was shared between VMs.

#include "support/routefleet.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>

using namespace cardamomlift;
using test::RouteFleet;
using test::TestCallPtr;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int Entries = 4;
constexpr int Workers = 8;
constexpr int StatusOk = 200;
constexpr int StatusBadRequest = 400;
/// The caller of the crashing request repeats it this often, each time at the next VM.
constexpr milliseconds RepeatPeriod(300);
/// Other requests, at all VMs in turn.
constexpr milliseconds OtherPeriod(50);
/// A crashed server is back after this time as another instance; its entry is removed after three heartbeats of silence.
constexpr milliseconds ReplacedAfter(1500);
constexpr milliseconds UnlistedAfter(3600);
/// This long after the third crash all VMs know of it; from then on only so many more servers may be reached.
constexpr milliseconds KnownAfter(3000);
constexpr std::size_t MaxCrashes = 3;
constexpr std::size_t MaxLateCrashes = 3;
/// The crashing request is repeated for this long after its third crash.
constexpr milliseconds RepeatedFor(10000);
constexpr milliseconds StepTime(10);

/// A deployment whose servers end when they run one request, which its caller repeats, while others go on.
class CrashingRequestRun
{
public:
    explicit CrashingRequestRun(std::string target)
        : target_(std::move(target))
        , fleet_(Entries, Workers)
    {
        fleet_.waitReady();
        fleet_.waitKnown();
    }

    /// Goes on for RepeatedFor after the third crash.
    void run()
    {
        nextRepeat_ = nextOther_ = now();
        while (crashes_.size() < MaxCrashes || now() < crashes_[MaxCrashes - 1] + RepeatedFor) {
            if (now() >= nextRepeat_) {
                sendCrashing();
                nextRepeat_ += RepeatPeriod;
            }
            if (now() >= nextOther_) {
                sendOther();
                nextOther_ += OtherPeriod;
            }
            watchServers();
            const TimePoint next = now() + StepTime;
            fleet_.caller.waitUntil([&] { return now() >= next; }, "the next step");
        }
        fleet_.caller.waitEnded(crashing_, "the repeats end");
        fleet_.caller.waitEnded(others_, "the other requests end");
    }

    std::size_t lateCrashes() const
    {
        const TimePoint knownAt = crashes_.at(MaxCrashes - 1) + KnownAfter;
        return static_cast<std::size_t>(std::count_if(crashes_.begin(), crashes_.end(), [&](TimePoint at) { return at > knownAt; }));
    }

    std::size_t crashes() const
    {
        return crashes_.size();
    }

    /// The answers to the last repeats, one at each VM.
    std::vector<TestCallPtr> lastAnswers() const
    {
        return {crashing_.end() - Entries, crashing_.end()};
    }

    std::size_t othersAnswered() const
    {
        return static_cast<std::size_t>(std::count_if(others_.begin(), others_.end(), [](const auto &call) { return call->status == StatusOk; }));
    }

    std::size_t others() const
    {
        return others_.size();
    }

    /// Requests to the same route by the same customer.
    bool othersAreServed()
    {
        for (int vm = 1; vm <= Entries; vm++) {
            http::ClientRequest request = fleet_.request(vm, target_.substr(0, target_.rfind('/')) + "/other", fmt::format("after-{}", vm));
            if (fleet_.caller.call(request)->status != StatusOk) {
                return false;
            }
        }
        return true;
    }

private:
    TimePoint now()
    {
        return fleet_.caller.loop().now();
    }

    void sendCrashing()
    {
        const auto number = crashing_.size();
        http::ClientRequest request = fleet_.request(static_cast<int>(number % Entries) + 1, target_, fmt::format("crashing-{}", number));
        request.body = "the same body each time";
        crashing_.push_back(fleet_.caller.start(request));
    }

    void sendOther()
    {
        const auto number = others_.size();
        others_.push_back(fleet_.caller.start(fleet_.request(static_cast<int>(number % Entries) + 1, "/safe/other", fmt::format("other-{}", number))));
    }

    void watchServers()
    {
        for (const std::string &instance : fleet_.workerNames()) {
            if (!fleet_.worker(instance).isRunning()) {
                crashes_.push_back(now());
                replacements_.push_back(now() + ReplacedAfter);
                unlistings_.emplace_back(now() + UnlistedAfter, instance);
                fleet_.dropEndedWorker(instance);
            }
        }
        while (!replacements_.empty() && replacements_.front() <= now()) {
            replacements_.erase(replacements_.begin());
            fleet_.addWorker(fmt::format("replacement-{}", replaced_++));
        }
        while (!unlistings_.empty() && unlistings_.front().first <= now()) {
            fleet_.unlistWorker(unlistings_.front().second);
            unlistings_.erase(unlistings_.begin());
        }
    }

    std::string target_;
    RouteFleet fleet_;
    TimePoint nextRepeat_;
    TimePoint nextOther_;
    std::vector<TestCallPtr> crashing_;
    std::vector<TestCallPtr> others_;
    std::vector<TimePoint> crashes_;
    std::vector<TimePoint> replacements_; ///< When servers come back.
    std::vector<std::pair<TimePoint, std::string>> unlistings_; ///< When entries are removed.
    int replaced_ = 0;
};

class CrashingRequests : public testing::TestWithParam<const char *>
{
};

// Guards against a request that crashes its servers and is sent to more of them without end, on any kind of route.
TEST_P(CrashingRequests, ReachAtMostThreeServersOnceAllVmsKnowOfThreeCrashes)
{
    CrashingRequestRun run(fmt::format("/{}", GetParam()));
    run.run();
    std::printf("%zu crashes, %zu late, %zu of %zu other requests answered\n", run.crashes(), run.lateCrashes(), run.othersAnswered(), run.others());
    EXPECT_LE(run.lateCrashes(), MaxLateCrashes);
    for (const TestCallPtr &call : run.lastAnswers()) {
        EXPECT_EQ(call->status, StatusBadRequest) << "a final answer";
        EXPECT_EQ(http::headerValue(call->headers, "Retry-After"), "") << "nothing invites it back";
    }
    EXPECT_TRUE(run.othersAreServed());
}

INSTANTIATE_TEST_SUITE_P(
    Routes, CrashingRequests, testing::Values("safe/crash", "once/crash", "stream/crash", "single/crash", "stream/crash-late"), [](const auto &info) {
        std::string name = info.param;
        std::erase_if(name, [](char c) { return c == '/' || c == '-'; });
        return name;
    });

} // namespace
