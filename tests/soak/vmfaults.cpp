#include "soak/vmfaults.h"

#include <csignal>

namespace cardamomlift::soak {

namespace {

using std::chrono::milliseconds;
using test::RouteFleet;

void setCut(RouteFleet &fleet, int entry, bool isCut)
{
    Json::Value faults;
    faults["cutToClient"] = isCut;
    faults["closeAll"] = !isCut;
    fleet.setStorePathFault(entry, faults);
}

} // namespace

VmFaults::VmFaults(std::mt19937 &random, int entries)
    : random_(random)
    , entries_(entries)
{
}

void VmFaults::step(RouteFleet &fleet)
{
    const TimePoint now = fleet.caller.loop().now();
    heal(fleet, now);
    if (now >= nextFault_) {
        nextFault_ = now + milliseconds(300 + random_() % 700);
        inject(fleet, now);
    }
}

void VmFaults::inject(RouteFleet &fleet, TimePoint now)
{
    const int entry = static_cast<int>(random_() % static_cast<unsigned>(entries_)) + 1;
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

void VmFaults::heal(RouteFleet &fleet, TimePoint now)
{
    std::erase_if(paused_, [&](const auto &entry) { return entry.second <= now && (fleet.entry(entry.first).signal(SIGCONT), true); });
    std::erase_if(cut_, [&](const auto &entry) { return entry.second <= now && (setCut(fleet, entry.first, false), true); });
}

void VmFaults::healAll(RouteFleet &fleet)
{
    heal(fleet, TimePoint::max());
}

} // namespace cardamomlift::soak
