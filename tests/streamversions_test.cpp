// Real daemons before workers of two software versions, which can't go on with each other's streams.

#include "support/routefleet.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <csignal>
#include <functional>
#include <set>
#include <sstream>

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
/// A caller that is refused, or finds no VM, comes again this much later, and gives up in the end.
constexpr milliseconds ReturnsAfter(100);
constexpr milliseconds GivesUpAfter(6000);

/// A caller that reads one stream, over as many tries as it takes.
struct Reader {
    std::string name;
    int entry = 0;
    int tries = 0;
    std::string firstTry; ///< The one that brought the first event.
    TestCallPtr call;
    std::vector<std::pair<int, std::string>> events; ///< Number and worker, of the tries before.
    TimePoint returnsAt;
    bool hasEnded = false;
    bool isWhole = false;
};

std::vector<std::pair<int, std::string>> eventsOf(const std::string &body)
{
    std::vector<std::pair<int, std::string>> events;
    std::istringstream lines(body);
    for (std::string line; std::getline(lines, line);) {
        std::istringstream words(line);
        std::string field;
        std::string id;
        int number = 0;
        std::string worker;
        words >> field >> id >> number >> worker;
        if (field == "data:") {
            events.emplace_back(number, worker);
        }
    }
    return events;
}

class StreamVersions : public testing::Test
{
protected:
    void addWorkers(const std::string &version)
    {
        for (int i = 0; i < WorkersOfVersion; i++) {
            addWorker(fmt::format("{}-{}", version, i), version);
        }
    }

    void addWorker(const std::string &instance, const std::string &version)
    {
        fleet_.addWorker(instance, version);
        Json::Value control;
        control["events"] = Events;
        control["eventGapMs"] = EventGapMs;
        control["namesServer"] = true;
        fleet_.controlWorker(instance, control);
    }

    TimePoint now()
    {
        return fleet_.caller.loop().now();
    }

    void startReaders()
    {
        fleet_.waitReady();
        fleet_.waitKnown();
        for (int i = 0; i < Streams; i++) {
            Reader reader;
            reader.name = fmt::format("reader-{}", i);
            reader.entry = i % Entries + 1;
            readers_.push_back(reader);
            startTry(readers_.back());
        }
        const TimePoint at = now() + TroubleAfter;
        fleet_.caller.waitUntil([&] { return now() >= at; }, "the streams run");
    }

    void startTry(Reader &reader)
    {
        const std::string id = fmt::format("{}-{}", reader.name, reader.tries++);
        http::ClientRequest request = fleet_.request(reader.entry, "/stream/1", id);
        if (!reader.events.empty()) {
            request.headers["Last-Event-Id"] = std::to_string(reader.events.back().first);
            request.headers["Resumes"] = reader.firstTry;
        } else {
            reader.firstTry = id;
        }
        reader.call = fleet_.caller.start(request);
    }

    /// Takes in what the last try has brought. The next one goes to another VM.
    void endTry(Reader &reader)
    {
        const auto events = eventsOf(reader.call->body);
        reader.events.insert(reader.events.end(), events.begin(), events.end());
        reader.isWhole = reader.call->result.transport == http::Transport::Completed && reader.call->status == 200;
        reader.hasEnded = reader.isWhole;
        reader.call = nullptr;
        reader.entry = reader.entry % Entries + 1;
        reader.returnsAt = now() + ReturnsAfter;
    }

    /// All callers leave, and come again at once at other VMs.
    void leaveAndReturn()
    {
        for (Reader &reader : readers_) {
            fleet_.caller.hangUp(reader.call);
            endTry(reader);
            reader.returnsAt = now();
        }
    }

    void finishReaders()
    {
        const TimePoint end = now() + GivesUpAfter;
        fleet_.caller.waitUntil(
            [&] {
                for (Reader &reader : readers_) {
                    step(reader, end);
                }
                return std::all_of(readers_.begin(), readers_.end(), [](const Reader &reader) { return reader.hasEnded; });
            },
            "all callers are served or give up");
    }

    void step(Reader &reader, TimePoint end)
    {
        if (reader.hasEnded) {
            return;
        }
        if (reader.call && reader.call->ended) {
            endTry(reader);
        }
        if (!reader.call && !reader.isWhole && now() >= end) {
            reader.hasEnded = true;
        } else if (!reader.call && !reader.hasEnded && now() >= reader.returnsAt) {
            startTry(reader);
        }
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

    /// @p minWhole: streams that must have gone on to their end.
    void check(int minWhole)
    {
        int mixed = 0;
        int whole = 0;
        for (const Reader &reader : readers_) {
            std::set<std::string> versions;
            for (std::size_t i = 0; i < reader.events.size(); i++) {
                EXPECT_EQ(reader.events[i].first, static_cast<int>(i) + 1) << reader.name << ": an event is missing, or came twice";
                versions.insert(reader.events[i].second.substr(0, reader.events[i].second.find('-')));
            }
            mixed += versions.size() > 1 ? 1 : 0;
            whole += reader.isWhole ? 1 : 0;
            EXPECT_TRUE(!reader.isWhole || reader.events.size() == Events) << reader.name;
        }
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

    RouteFleet fleet_{Entries, 0};
    std::vector<Reader> readers_;
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
    finishReaders();
    check(Streams / 2);
}

// Guards against a stream that is taken up at a VM that does not know which version began it.
TEST_F(StreamVersions, AreKeptWhenCallersComeAgainAtOtherVms)
{
    addWorkers("v1");
    addWorkers("v2");
    startReaders();
    leaveAndReturn();
    finishReaders();
    check(Streams / 2);
}

// Guards against a version that only the VMs knew that have ended.
TEST_F(StreamVersions, AreKeptWhenHalfOfTheVmsAreKilled)
{
    addWorkers("v1");
    addWorkers("v2");
    startReaders();
    restartEntries(Entries / 2);
    finishReaders();
    check(Streams / 2);
}

// Guards against a guess where no VM can know the version any more.
TEST_F(StreamVersions, AreKeptWhenAllVmsAreKilled)
{
    addWorkers("v1");
    addWorkers("v2");
    startReaders();
    restartEntries(Entries);
    finishReaders();
    check(0);
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
    finishReaders();
    check(0);
}

// Guards against streams that began while one version served alone and are taken up beside another.
TEST_F(StreamVersions, AreKeptWhenAnotherComesWhileStreamsRun)
{
    addWorkers("v1");
    startReaders();
    addWorkers("v2");
    waitServedBy("v2");
    leaveAndReturn();
    finishReaders();
    check(Streams / 2);
}

// Guards against streams that no VM knows any more and that are refused although only one version has served.
TEST_F(StreamVersions, AreNoMatterWhereOnlyOneHasServed)
{
    addWorkers("v1");
    startReaders();
    restartEntries(Entries);
    finishReaders();
    check(Streams / 2);
}

} // namespace
