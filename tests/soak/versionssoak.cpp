#include "soak/versionssoak.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <csignal>

namespace cardamomlift::soak {

namespace {

using std::chrono::milliseconds;

constexpr int Entries = 4;
constexpr int ServersOfVersion = 3;
constexpr int Events = 40;
constexpr int EventGapMs = 40;
constexpr milliseconds StepTime(20);
constexpr milliseconds StreamPeriod(60);
constexpr milliseconds FaultPeriod(700);
/// A caller gives up this long after it began.
constexpr milliseconds Patience(9000);
/// Streams that may hold events of two versions.
constexpr int MaxMixed = 2;

} // namespace

VersionsSoak::VersionsSoak(unsigned seed, milliseconds length)
    : random_(seed)
    , length_(length)
    , fleet_(Entries, 0, true)
    , readers_(fleet_, Entries, Events, EventGapMs)
{
    for (int i = 0; i < ServersOfVersion; i++) {
        readers_.addWorker(fmt::format("v1-{}", servers_++));
        readers_.addWorker(fmt::format("v2-{}", servers_++));
    }
    fleet_.waitReady();
    fleet_.waitKnown();
}

int VersionsSoak::pick(int below)
{
    return static_cast<int>(random_() % static_cast<unsigned>(below));
}

TimePoint VersionsSoak::now()
{
    return fleet_.caller.loop().now();
}

void VersionsSoak::run()
{
    const TimePoint end = now() + length_;
    TimePoint nextStream = now();
    TimePoint nextFault = now() + FaultPeriod;
    while (now() < end) {
        if (now() >= nextStream) {
            readers_.start(pick(Entries) + 1);
            nextStream += StreamPeriod;
        }
        if (now() >= nextFault) {
            injectFault();
            nextFault += milliseconds(pick(static_cast<int>(FaultPeriod.count()) * 2));
        }
        heal(false);
        readers_.step(Patience);
        const TimePoint next = now() + StepTime;
        fleet_.caller.waitUntil([&] { return now() >= next; }, "the next step");
    }
    heal(true);
    readers_.finish(Patience);
    const int mixed = readers_.countMixed();
    const auto [resumed, withEvents] = readers_.countResumed();
    std::printf("%zu streams, %d whole; resumed %d times, %d times with events; %d at two versions\n",
        readers_.size(),
        readers_.countWhole(),
        resumed,
        withEvents,
        mixed);
    EXPECT_LE(mixed, MaxMixed);
    EXPECT_GT(readers_.countWhole(), static_cast<int>(readers_.size()) / 10);
}

void VersionsSoak::injectFault()
{
    const int entry = pick(Entries) + 1;
    switch (pick(7)) {
    case 0:
        restartEntry(entry);
        break;
    case 1:
        restartEntry(entry);
        restartEntry(entry % Entries + 1);
        break;
    case 2:
        pauseEntry(entry);
        break;
    case 3:
        fleet_.setStorePathFault(entry, [] {
            Json::Value cut;
            cut["cutToClient"] = true;
            return cut;
        }());
        cut_[entry] = now() + milliseconds(500 + pick(3000));
        break;
    case 4:
        readers_.leaveAndReturn();
        break;
    default:
        replaceServer();
        break;
    }
}

// One of its own version, of the other or of a new one takes its place, before or after it ends.
void VersionsSoak::replaceServer()
{
    const std::vector<std::string> names = fleet_.workerNames();
    const std::string leaving = names[static_cast<std::size_t>(pick(static_cast<int>(names.size())))];
    newestVersion_ += pick(4) == 0 ? 1 : 0;
    const std::string successor = fmt::format("v{}-{}", newestVersion_ - pick(2), servers_++);
    const bool comesFirst = pick(2) == 0;
    if (comesFirst) {
        readers_.addWorker(successor);
    }
    fleet_.worker(leaving).signal(SIGKILL);
    fleet_.worker(leaving).wait();
    fleet_.dropEndedWorker(leaving);
    fleet_.unlistWorker(leaving);
    if (!comesFirst) {
        readers_.addWorker(successor);
    }
}

void VersionsSoak::restartEntry(int entry)
{
    if (paused_.contains(entry)) {
        return;
    }
    fleet_.entry(entry).signal(SIGKILL);
    fleet_.entry(entry).wait();
    fleet_.addEntry(entry);
}

void VersionsSoak::pauseEntry(int entry)
{
    fleet_.entry(entry).signal(SIGSTOP);
    paused_[entry] = now() + milliseconds(100 + pick(2500));
}

void VersionsSoak::heal(bool all)
{
    for (auto entry = paused_.begin(); entry != paused_.end();) {
        if (!all && now() < entry->second) {
            ++entry;
            continue;
        }
        fleet_.entry(entry->first).signal(SIGCONT);
        entry = paused_.erase(entry);
    }
    for (auto entry = cut_.begin(); entry != cut_.end();) {
        if (!all && now() < entry->second) {
            ++entry;
            continue;
        }
        Json::Value open;
        open["cutToClient"] = false;
        open["closeAll"] = true;
        fleet_.setStorePathFault(entry->first, open);
        entry = cut_.erase(entry);
    }
}

} // namespace cardamomlift::soak
