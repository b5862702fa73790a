#include "soak/crashingsoak.h"

#include <gtest/gtest.h>

#include <csignal>
#include <iterator>

namespace cardamomlift::soak {

namespace {

using std::chrono::milliseconds;
using test::CrashingRun;
using test::RouteFleet;

constexpr const char *Targets[] = {"/safe/crash", "/once/crash", "/stream/crash", "/single/crash", "/stream/crash-late", "/single/crash-late"};
/// Servers that a request may crash once all VMs know of three crashes.
constexpr std::size_t MaxLateCrashes = 3;

void setCut(RouteFleet &fleet, int entry, bool isCut)
{
    Json::Value faults;
    faults["cutToClient"] = isCut;
    faults["closeAll"] = !isCut;
    fleet.setStorePathFault(entry, faults);
}

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
    CrashingRun::Options options;
    options.targets = {anyTarget(), anyTarget()};
    options.otherPaths = {"/once/other", "/single/other", "/safe/other", "/stream/other"};
    options.isProxied = true;
    options.onStep = [this](RouteFleet &fleet) {
        heal(fleet);
        injectFault(fleet);
    };
    CrashingRun run(std::move(options));
    run.run(length_, 4 * length_);
    resumeAll(run.fleet());
    std::printf("%zu crashes, %zu late, %zu of %zu other requests answered\n", run.crashes(), run.lateCrashes(), run.othersAnswered(), run.others());
    EXPECT_LE(run.lateCrashes(), MaxLateCrashes);
    EXPECT_TRUE(run.fleet().caller.waitUntil([&] { return run.othersAreServed(); }, "other requests are served"));
}

void CrashingSoak::injectFault(RouteFleet &fleet)
{
    const TimePoint now = fleet.caller.loop().now();
    if (now < nextFault_) {
        return;
    }
    nextFault_ = now + milliseconds(300 + random_() % 700);
    const int entry = static_cast<int>(random_() % CrashingRun::Entries) + 1;
    if (paused_.contains(entry)) {
        return;
    }
    switch (random_() % 4) {
    case 0:
        fleet.entry(entry).signal(SIGSTOP);
        paused_[entry] = now + milliseconds(100 + random_() % 1500);
        break;
    case 1:
        fleet.entry(entry).signal(SIGKILL);
        fleet.entry(entry).wait();
        fleet.addEntry(entry);
        break;
    case 2:
        fleet.entry(entry).signal(SIGHUP);
        break;
    default:
        setCut(fleet, entry, true);
        cut_[entry] = now + milliseconds(300 + random_() % 1500);
        break;
    }
}

void CrashingSoak::heal(RouteFleet &fleet)
{
    const TimePoint now = fleet.caller.loop().now();
    std::erase_if(paused_, [&](const auto &entry) { return entry.second <= now && (fleet.entry(entry.first).signal(SIGCONT), true); });
    std::erase_if(cut_, [&](const auto &entry) { return entry.second <= now && (setCut(fleet, entry.first, false), true); });
}

void CrashingSoak::resumeAll(RouteFleet &fleet)
{
    for (const auto &[entry, until] : paused_) {
        fleet.entry(entry).signal(SIGCONT);
    }
    for (const auto &[entry, until] : cut_) {
        setCut(fleet, entry, false);
    }
}

} // namespace cardamomlift::soak
