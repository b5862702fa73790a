// Real daemons before workers of two software versions, which can't go on with each other's streams.

#include "support/streamreaders.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <csignal>

using namespace cardamomlift;
using test::RouteFleet;
using test::TestCallPtr;

namespace {

using std::chrono::milliseconds;

constexpr int Entries = 4;
constexpr int WorkersOfVersion = 3;
constexpr int Streams = 48;
constexpr int Events = 60;
constexpr int EventGapMs = 40;
constexpr milliseconds TroubleAfter(600);
/// A caller gives up this long after it began.
constexpr milliseconds Patience(7500);

class StreamVersions : public testing::Test
{
protected:
    explicit StreamVersions(bool proxied = false)
        : fleet_(Entries, 0, proxied)
    {
    }

    void addWorkers(const std::string &version)
    {
        versions_++;
        for (int i = 0; i < WorkersOfVersion; i++) {
            readers_.addWorker(fmt::format("{}-{}", version, i));
        }
    }

    void startReaders()
    {
        fleet_.waitReady();
        fleet_.waitKnown();
        waitRecorded();
        startReadersAt(1);
    }

    /// At the VMs from @p firstEntry on.
    void startReadersAt(int firstEntry, milliseconds running = TroubleAfter)
    {
        for (int i = 0; i < Streams; i++) {
            readers_.start(i % (Entries - firstEntry + 1) + firstEntry);
        }
        pass(running);
    }

    /// Waits until streams may begin at all versions, at the VMs from @p firstEntry on.
    void waitRecorded(int firstEntry = 1)
    {
        fleet_.caller.waitUntil(
            [this, firstEntry] {
                for (int entry = firstEntry; entry <= Entries; entry++) {
                    if (fleet_.metric(entry, "recorded_versions") < versions_) {
                        return false;
                    }
                }
                return true;
            },
            "the versions are recorded");
    }

    void pass(milliseconds time)
    {
        const TimePoint at = fleet_.caller.loop().now() + time;
        fleet_.caller.waitUntil([&] { return fleet_.caller.loop().now() >= at; }, "time passes");
    }

    /// Waits until each VM has got an answer from a worker of @p version.
    void waitServedBy(const std::string &version)
    {
        for (int entry = 1; entry <= Entries; entry++) {
            for (int i = 0; i < Streams; i++) {
                const TestCallPtr call = fleet_.caller.call(fleet_.request(entry, "/safe/1", fmt::format("probe-{}-{}", entry, i)));
                if (http::headerValue(call->headers, "X-Response-Signature").starts_with(version)) {
                    break;
                }
            }
        }
    }

    /// Waits for the callers. @p minWhole: streams that must have gone on to their end.
    void check(int minWhole)
    {
        readers_.finish(Patience);
        const int mixed = readers_.countMixed();
        const int whole = readers_.countWhole();
        std::printf("%d at two versions, %d of %d whole\n", mixed, whole, Streams);
        EXPECT_EQ(mixed, 0);
        EXPECT_GE(whole, minWhole);
    }

    void restartEntries(int count)
    {
        for (int entry = 1; entry <= count; entry++) {
            fleet_.entry(entry).signal(SIGKILL);
        }
        for (int entry = 1; entry <= count; entry++) {
            fleet_.entry(entry).wait();
            fleet_.addEntry(entry);
        }
    }

    int versions_ = 0;
    RouteFleet fleet_;
    test::StreamReaders readers_{fleet_, Entries, Events, EventGapMs};
};

// Guards against a stream that is resumed at another version within one answer.
TEST_F(StreamVersions, AreKeptWhenAServerOfEachIsKilled)
{
    addWorkers("v1");
    addWorkers("v2");
    startReaders();
    for (const char *worker : {"v1-0", "v2-0"}) {
        fleet_.worker(worker).signal(SIGKILL);
    }
    check(Streams / 2);
}

// Guards against a stream that is resumed at a VM that does not know which version began it.
TEST_F(StreamVersions, AreKeptWhenCallersComeAgainAtOtherVms)
{
    addWorkers("v1");
    addWorkers("v2");
    startReaders();
    readers_.leaveAndReturn();
    check(Streams / 2);
}

// Guards against a version that only the VMs knew that have ended.
TEST_F(StreamVersions, AreKeptWhenHalfOfTheVmsAreKilled)
{
    addWorkers("v1");
    addWorkers("v2");
    startReaders();
    restartEntries(Entries / 2);
    check(Streams / 2);
}

// Guards against streams that no VM knows any more after all have ended: they were refused, or would go on at a version that is guessed.
TEST_F(StreamVersions, AreKeptWhenAllVmsAreKilled)
{
    addWorkers("v1");
    addWorkers("v2");
    startReaders();
    restartEntries(Entries);
    check(Streams / 2);
}

// Guards against streams that can't be resumed because they had run for a moment only when all VMs ended.
TEST_F(StreamVersions, AreKeptWhenAllVmsAreKilledSoonAfterTheyBegan)
{
    addWorkers("v1");
    addWorkers("v2");
    fleet_.waitReady();
    fleet_.waitKnown();
    waitRecorded();
    startReadersAt(1, milliseconds(200));
    restartEntries(Entries);
    check(Streams / 2);
}

// Guards against streams of a version that leaves while no VM runs, which go on at the one that stays.
TEST_F(StreamVersions, AreKeptWhenAllVmsAreKilledAndOneLeaves)
{
    addWorkers("v1");
    addWorkers("v2");
    startReaders();
    for (int entry = 1; entry <= Entries; entry++) {
        fleet_.entry(entry).signal(SIGKILL);
    }
    for (int i = 0; i < WorkersOfVersion; i++) {
        fleet_.unlistWorker(fmt::format("v1-{}", i));
    }
    restartEntries(Entries);
    check(Streams / 4);
}

// Guards against a version that nobody records, as the VM that should do so stands still while the others begin streams at it.
TEST_F(StreamVersions, AreKeptWhenTheVmThatRecordsStoodStill)
{
    addWorkers("v1");
    fleet_.waitReady();
    fleet_.waitKnown();
    waitRecorded();
    fleet_.entry(1).signal(SIGSTOP);
    addWorkers("v2");
    waitRecorded(2);
    startReadersAt(2);
    for (int i = 0; i < WorkersOfVersion; i++) {
        fleet_.unlistWorker(fmt::format("v2-{}", i));
    }
    restartEntries(Entries);
    check(Streams / 4);
}

/// The VMs reach the store through proxies.
class StreamVersionsOfCutOffVms : public StreamVersions
{
protected:
    StreamVersionsOfCutOffVms()
        : StreamVersions(true)
    {
    }

    void setStoreCut(int entry, bool isCut)
    {
        Json::Value faults;
        faults["refuse"] = isCut;
        faults["closeAll"] = isCut;
        fleet_.setStorePathFault(entry, faults);
    }
};

// Guards against a version that nobody records, as the VM that should do so does not reach the store while the others still hear it.
TEST_F(StreamVersionsOfCutOffVms, AreKeptWhenAllVmsAreKilledAndOneLeaves)
{
    addWorkers("v1");
    fleet_.waitReady();
    fleet_.waitKnown();
    waitRecorded();
    setStoreCut(1, true);
    addWorkers("v2");
    waitRecorded(2);
    startReadersAt(2);
    for (int entry = 1; entry <= Entries; entry++) {
        fleet_.entry(entry).signal(SIGKILL);
    }
    for (int i = 0; i < WorkersOfVersion; i++) {
        fleet_.unlistWorker(fmt::format("v2-{}", i));
    }
    setStoreCut(1, false);
    restartEntries(Entries);
    check(Streams / 4);
}

// Guards against streams that began before another version joined, and which nobody wrote down.
TEST_F(StreamVersions, AreKeptWhenAllVmsAreKilledAfterAnotherHasCome)
{
    addWorkers("v1");
    startReaders();
    addWorkers("v2");
    waitRecorded();
    pass(TroubleAfter);
    restartEntries(Entries);
    check(Streams / 2);
}

// Guards against a stream that goes on elsewhere because its version is gone.
TEST_F(StreamVersions, AreKeptWhenAllServersOfOneAreGone)
{
    addWorkers("v1");
    addWorkers("v2");
    startReaders();
    for (int i = 0; i < WorkersOfVersion; i++) {
        fleet_.worker(fmt::format("v1-{}", i)).signal(SIGKILL);
    }
    check(0);
}

// Guards against streams that began while one version served alone and are resumed beside another.
TEST_F(StreamVersions, AreKeptWhenAnotherComesWhileStreamsRun)
{
    addWorkers("v1");
    startReaders();
    addWorkers("v2");
    waitServedBy("v2");
    readers_.leaveAndReturn();
    check(Streams / 2);
}

// Guards against streams that no VM knows any more and that are refused although only one version has served.
TEST_F(StreamVersions, AreNoMatterWhereOnlyOneHasServed)
{
    addWorkers("v1");
    startReaders();
    restartEntries(Entries);
    check(Streams / 2);
}

} // namespace
