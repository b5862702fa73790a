#include "soak/crashingsoak.h"

#include "soak/vmfaults.h"
#include "support/crashingpartsrun.h"
#include "support/crashingrun.h"

#include <gtest/gtest.h>

#include <csignal>
#include <iterator>

namespace cardamomlift::soak {

namespace {

using std::chrono::milliseconds;
using test::CrashingPartsRun;
using test::CrashingRun;
using test::RouteFleet;

constexpr const char *Targets[] = {"/safe/crash", "/once/crash", "/stream/crash", "/single/crash", "/stream/crash-late", "/single/crash-late"};
constexpr const char *PartPaths[] = {"/safe/request", "/once/request", "/stream/request", "/single/request"};
constexpr const char *PartPrompts[] = {"a1:800,dead1:410", "dead1:410,a1:800,b2:300", "a1:800,dead1:410,c3:20"};
/// Servers that a request or a part may crash once all VMs know of its crashes.
constexpr std::size_t MaxLateCrashes = 3;
/// One in so many steps, of which there are about a hundred a second, ends a server for another reason.
constexpr unsigned StepsPerOtherEnd = 400;

} // namespace

CrashingSoak::CrashingSoak(unsigned seed, milliseconds length)
    : random_(seed)
    , length_(length)
{
}

const char *CrashingSoak::anyTarget()
{
    return Targets[random_() % std::size(Targets)];
}

void CrashingSoak::run()
{
    VmFaults faults(random_, CrashingRun::Entries);
    CrashingRun::Options options;
    options.targets = {anyTarget(), anyTarget()};
    options.otherPaths = {"/once/other", "/single/other", "/safe/other", "/stream/other"};
    options.isProxied = true;
    options.onStep = [&faults](RouteFleet &fleet) {
        faults.step(fleet);
    };
    CrashingRun run(std::move(options));
    run.run(length_, 4 * length_);
    faults.healAll(run.fleet());
    std::printf("%zu crashes, %zu late, %zu of %zu other requests answered\n", run.crashes(), run.lateCrashes(), run.othersAnswered(), run.others());
    EXPECT_LE(run.lateCrashes(), MaxLateCrashes);
    EXPECT_TRUE(run.fleet().caller.waitUntil([&] { return run.othersAreServed(); }, "other requests are served"));
}

void CrashingSoak::runParts()
{
    VmFaults faults(random_, CrashingPartsRun::Entries);
    CrashingPartsRun::Options options;
    options.path = PartPaths[random_() % std::size(PartPaths)];
    options.crashingPrompts = {PartPrompts[random_() % std::size(PartPrompts)]};
    if (random_() % 2 == 0) {
        options.crashingPrompts.emplace_back("a1:800,b2:300,dead2:410");
    }
    options.isProxied = true;
    options.soundTime = milliseconds(random_() % 60);
    options.length = length_;
    options.onStep = [&](RouteFleet &fleet) {
        faults.step(fleet);
        const auto workers = fleet.workerNames();
        if (random_() % StepsPerOtherEnd == 0 && !workers.empty()) {
            fleet.worker(workers[random_() % workers.size()]).signal(SIGKILL);
        }
    };
    CrashingPartsRun run(std::move(options));
    run.run();
    faults.healAll(run.fleet());
    std::printf("%s\n", run.summary().c_str());
    EXPECT_LE(run.lateCrashes(), MaxLateCrashes);
    EXPECT_TRUE(run.fleet().caller.waitUntil([&] { return run.soundAreServed(); }, "sound requests are served"));
}

} // namespace cardamomlift::soak
