// Randomized faults on real processes that serve routes, while callers go on and the promises are checked from what callers
// and workers see. One seed gives one series of faults; times and scheduling differ from run to run.
//
//   soak --gtest_filter=Soak.* with SOAK_SEEDS="7 8 9" and SOAK_SECONDS=20 in the environment, or the defaults.

#include "soak/crashingsoak.h"
#include "soak/versionssoak.h"
#include "support/announcements.h"
#include "support/arrivals.h"
#include "support/routefleet.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <random>
#include <span>
#include <sstream>

using namespace cardamomlift;
using test::RouteFleet;
using test::TestCallPtr;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int Entries = 4;
constexpr int Workers = 4;
constexpr int Events = 12;
/// Requests open at a time.
constexpr std::size_t OpenRequests = 24;
constexpr milliseconds FaultGap(150);
const std::vector<int> FaultKinds{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 14, 15};
/// And servers that start again under their name, and entries of another writer in their list.
const std::vector<int> FaultKindsWithRestarts{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 14, 15};
/// And a store that goes back to an older copy.
const std::vector<int> FaultKindsWithRestores{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 13, 13, 13, 14, 15};
/// Those that leave the VMs what they know: one that starts knows of no limit until it is told.
const std::vector<int> FaultKindsWithoutRestarts{0, 3, 4, 10};
/// Requests a second that a server in need takes, and the most that it bears in four seconds.
constexpr int ServerLimit = 2;
constexpr int MostInLimitWindow = ServerLimit * 4 * 3 / 2 + 5;
/// Answers that were on their way this long before or after a cut may be lost.
constexpr milliseconds CutMargin(200);
/// From SIGTERM to the end: the grace time of the fleet's settings and a margin for a busy machine.
constexpr seconds ExitBound(20);
constexpr int StatusOk = 200;

/// Servers that one request may run on, by route; as in the fleet's manifest.
const std::map<std::string, int> MaxAttempts{{"safe", 2}, {"once", 1}, {"stream", 3}, {"single", 1}};
/// The time that callers wait, as in the fleet's requests, and what a server may be granted beyond it.
constexpr milliseconds CallerTime(15000);
constexpr milliseconds TimeMargin(500);

/// One request of a caller and what it may expect.
struct Sent {
    std::string id;
    std::string route;
    int entry = 0;
    TimePoint at;
    TestCallPtr call;
};

Json::Value fault(const char *name, const Json::Value &value = true)
{
    Json::Value json;
    json[name] = value;
    return json;
}

class SoakRun
{
public:
    SoakRun(unsigned seed, milliseconds length, std::span<const int> faultKinds)
        : random_(seed)
        , faultKinds_(faultKinds.begin(), faultKinds.end())
        , fleet_(Entries, Workers, true)
        , end_(fleet_.caller.loop().now() + length)
    {
    }

    /// The first server names a limit from now on.
    void limitAServer()
    {
        fleet_.waitReady();
        fleet_.controlWorker(fleet_.workerNames().front(), fault("limit", std::to_string(ServerLimit)));
    }

    /// What it got in any four seconds.
    int mostInLimitWindow()
    {
        return fleet_.controlWorker(fleet_.workerNames().front())["mostInLimitWindow"].asInt();
    }

    /// A server that says it leaves gets no more work, from any VM.
    void checkThatLeavingIsKnown()
    {
        const std::string leaving = fleet_.workerNames().front();
        fleet_.listWorker(leaving, "draining", workerStart_[leaving]);
        const auto getsWork = [&] {
            const auto runs = fleet_.controlWorker(leaving)["runs"].size();
            for (int i = 0; i < 6 * Entries; i++) {
                fleet_.caller.call(fleet_.request(i % Entries + 1, "/safe/1", fmt::format("probe-{}", probes_++)));
            }
            return runs < fleet_.controlWorker(leaving)["runs"].size();
        };
        EXPECT_TRUE(fleet_.caller.waitUntil([&] { return !getsWork(); }, "the leaving server gets nothing"));
    }

    void run()
    {
        fleet_.waitReady();
        fleet_.copyStore();
        Json::Value pace = fault("eventGapMs", 25);
        pace["events"] = Events;
        for (const std::string &worker : fleet_.workerNames()) {
            fleet_.controlWorker(worker, pace);
        }
        TimePoint nextFault = now() + FaultGap;
        while (now() < end_) {
            topUp();
            fleet_.caller.waitUntil([&] { return now() >= nextFault || openCount() < OpenRequests; }, "the next fault");
            if (now() >= nextFault) {
                injectFault();
                nextFault = now() + FaultGap;
            }
        }
        healAll();
        fleet_.caller.waitUntil([&] { return openCount() == 0; }, "all requests end");
        check();
        checkServiceIsBack();
    }

private:
    TimePoint now()
    {
        return fleet_.caller.loop().now();
    }

    int pick(int count)
    {
        return std::uniform_int_distribution<int>(0, count - 1)(random_);
    }

    std::size_t openCount() const
    {
        return static_cast<std::size_t>(std::count_if(sent_.begin(), sent_.end(), [](const Sent &sent) { return !sent.call->ended; }));
    }

    void topUp()
    {
        constexpr const char *Routes[] = {"safe", "once", "stream", "single"};
        while (openCount() < OpenRequests) {
            Sent sent;
            sent.id = fmt::format("r{}", sent_.size());
            sent.route = Routes[pick(4)];
            sent.entry = pick(Entries) + 1;
            http::ClientRequest request = fleet_.request(sent.entry, fmt::format("/{}/1", sent.route), sent.id);
            request.freshConnection = pick(2) == 0;
            sent.at = now();
            sent.call = fleet_.caller.start(request);
            sent_.push_back(std::move(sent));
        }
    }

    void later(milliseconds delay, std::function<void()> action)
    {
        fleet_.caller.loop().after(delay, std::move(action));
    }

    // Faults come in series and overlap: each ends by itself after its own time.
    void injectFault()
    {
        const int entry = pick(Entries) + 1;
        const auto names = fleet_.workerNames();
        const std::string worker = names[static_cast<std::size_t>(pick(static_cast<int>(names.size())))];
        switch (faultKinds_[static_cast<std::size_t>(pick(static_cast<int>(faultKinds_.size())))]) {
        case 0:
            pauseEntry(entry);
            break;
        case 1:
            restartEntry(entry, SIGKILL);
            break;
        case 2:
            restartEntry(entry, SIGTERM);
            break;
        case 3:
            fleet_.entry(entry).signal(SIGHUP);
            break;
        case 4:
            fleet_.setStorePathFault(entry, fault(pick(2) == 0 ? "cutToClient" : "freeze"));
            storePathHeals_.push_back({now() + milliseconds(500 + pick(2500)), entry});
            break;
        case 5:
            fleet_.setWorkerPathFault(worker, pick(2) == 0 ? fault("delayMs", 80) : fault("closeAll"));
            noteCut(worker);
            workerPathHeals_.push_back({now() + milliseconds(300 + pick(1500)), worker});
            break;
        case 6:
            breakStreams(worker);
            workerHeals_.push_back({now() + milliseconds(200 + pick(800)), worker});
            break;
        case 7:
            fleet_.controlWorker(worker, fault(pick(2) == 0 ? "resets" : "full"));
            workerHeals_.push_back({now() + milliseconds(200 + pick(800)), worker});
            break;
        case 8:
            fleet_.controlWorker(worker, fault("silent"));
            workerHeals_.push_back({now() + milliseconds(300 + pick(2500)), worker});
            break;
        case 9:
            pauseWorker(worker);
            break;
        case 11:
            restartWorker(worker);
            break;
        case 12:
            fleet_.listUnreadable(worker, pick(2) == 0 ? "{\"service\":\"service\"}" : "\xff no entry");
            later(milliseconds(100 + pick(1200)), [this, worker] { fleet_.listWorker(worker, "ready", workerStart_[worker]); });
            break;
        case 13:
            restoreStore();
            break;
        case 14:
            backOff(worker);
            break;
        case 15:
            announceLeaving(worker);
            break;
        default:
            fleet_.setStoreFault(pick(2) == 0 ? "down" : "loseAnswers");
            storeHealsAt_ = now() + milliseconds(300 + pick(1500));
            break;
        }
        healDue();
    }

    // All ways in which a body may end, in turns.
    void breakStreams(const std::string &worker)
    {
        Json::Value body = fault("breakAfter", pick(4));
        const int kind = breaks_++;
        body["breaksInOrder"] = kind % 2 == 0;
        body["unframed"] = kind / 2 % 2 == 0;
        body["brokenPart"] = kind / 4 % 2 == 0 ? "id" : "lines";
        fleet_.controlWorker(worker, body);
    }

    void pauseEntry(int entry)
    {
        if (busy_.contains(entry)) {
            return;
        }
        fleet_.entry(entry).signal(SIGSTOP);
        busy_.insert(entry);
        later(milliseconds(100 + pick(2500)), [this, entry, from = now()] {
            fleet_.entry(entry).signal(SIGCONT);
            busy_.erase(entry);
            disturbances_.push_back({entry, {}, from, now()});
        });
    }

    // An answer that was on its way may be lost.
    void noteCut(const std::string &worker)
    {
        disturbances_.push_back({0, worker, now() - CutMargin, now() + CutMargin});
    }

    void backOff(const std::string &worker)
    {
        Json::Value refusals = fault("full");
        refusals["retryAfter"] = fmt::format("{:.1f}", 0.5 + 0.1 * pick(25));
        fleet_.controlWorker(worker, refusals);
        workerHeals_.push_back({now() + milliseconds(200 + pick(800)), worker});
    }

    // The list goes on saying that it is ready; it ends and starts again some seconds later.
    void announceLeaving(const std::string &worker)
    {
        if (!leavingWorkers_.empty()) {
            return;
        }
        leavingWorkers_.insert(worker);
        fleet_.controlWorker(worker, fault("announcesLeaving"));
        later(milliseconds(2500 + pick(3500)), [this, worker] { restartLeaving(worker); });
    }

    void restartLeaving(const std::string &worker)
    {
        if (pausedWorkers_.contains(worker)) {
            later(milliseconds(100), [this, worker] { restartLeaving(worker); });
            return;
        }
        restartWorker(worker);
        leavingWorkers_.erase(worker);
    }

    void pauseWorker(const std::string &worker)
    {
        if (!pausedWorkers_.insert(worker).second) {
            return;
        }
        fleet_.worker(worker).signal(SIGSTOP);
        later(milliseconds(100 + pick(2000)), [this, worker] {
            fleet_.worker(worker).signal(SIGCONT);
            pausedWorkers_.erase(worker);
        });
    }

    // What servers have written since the copy is written again a moment after the store is back.
    void restoreStore()
    {
        if (isRestoring_) {
            return;
        }
        isRestoring_ = true;
        fleet_.setStoreFault("down");
        fleet_.restoreStore();
        if (pick(2) == 0) {
            fleet_.useUpVersions(pick(40));
        }
        later(milliseconds(pick(2500)), [this] {
            fleet_.setStoreFault("");
            later(milliseconds(pick(1000)), [this] { listAllWorkers(); });
            later(milliseconds(1000 + pick(1000)), [this] { fleet_.copyStore(); });
            later(milliseconds(2000 + pick(4000)), [this] { isRestoring_ = false; });
        });
    }

    void listAllWorkers()
    {
        for (const std::string &worker : fleet_.workerNames()) {
            fleet_.listWorker(worker, "ready", workerStart_[worker]);
        }
    }

    // Its entry tells of the new start a moment after the process is there, as a heartbeat would.
    void restartWorker(const std::string &worker)
    {
        if (pausedWorkers_.contains(worker)) {
            return;
        }
        noteCut(worker);
        fleet_.restartWorker(worker);
        Json::Value pace = fault("eventGapMs", 25);
        pace["events"] = Events;
        fleet_.controlWorker(worker, pace);
        workerStart_[worker] = ++lastStart_;
        later(milliseconds(pick(600)), [this, worker, start = lastStart_] { fleet_.listWorker(worker, "ready", start); });
    }

    void restartEntry(int entry, int signal)
    {
        if (busy_.contains(entry)) {
            return;
        }
        fleet_.entry(entry).signal(signal);
        busy_.insert(entry);
        awaitExit(entry, signal, now());
    }

    void awaitExit(int entry, int signal, TimePoint from)
    {
        later(milliseconds(20), [this, entry, signal, from] {
            if (fleet_.entry(entry).isRunning()) {
                EXPECT_LT(now(), from + ExitBound) << "entry " << entry << " does not end";
                awaitExit(entry, signal, from);
                return;
            }
            const int code = fleet_.entry(entry).wait();
            EXPECT_EQ(code, signal == SIGTERM ? 0 : 128 + signal) << "entry " << entry;
            fleet_.addEntry(entry);
            busy_.erase(entry);
            disturbances_.push_back({entry, {}, from, now()});
        });
    }

    void healDue()
    {
        const TimePoint at = now();
        std::erase_if(storePathHeals_, [&](const auto &heal) { return heal.first <= at && (healStorePath(heal.second), true); });
        std::erase_if(workerPathHeals_, [&](const auto &heal) { return heal.first <= at && (healWorkerPath(heal.second), true); });
        std::erase_if(workerHeals_, [&](const auto &heal) { return heal.first <= at && (healWorker(heal.second), true); });
        if (storeHealsAt_ <= at) {
            fleet_.setStoreFault("");
        }
    }

    void healStorePath(int entry)
    {
        Json::Value off = fault("cutToClient", false);
        off["freeze"] = false;
        off["closeAll"] = true;
        fleet_.setStorePathFault(entry, off);
    }

    void healWorkerPath(const std::string &worker)
    {
        fleet_.setWorkerPathFault(worker, fault("delayMs", 0));
    }

    void healWorker(const std::string &worker)
    {
        Json::Value off = fault("breakAfter", -1);
        off["unframed"] = false;
        off["resets"] = false;
        off["full"] = false;
        off["silent"] = false;
        off["retryAfter"] = "";
        fleet_.controlWorker(worker, off);
    }

    void healAll()
    {
        fleet_.caller.waitUntil([&] { return busy_.empty() && pausedWorkers_.empty() && leavingWorkers_.empty() && !isRestoring_; }, "all processes run");
        for (int entry = 1; entry <= Entries; entry++) {
            healStorePath(entry);
        }
        for (const std::string &worker : fleet_.workerNames()) {
            healWorkerPath(worker);
            healWorker(worker);
        }
        fleet_.setStoreFault("");
    }

    static std::string eventsOf(const std::string &id)
    {
        std::string text;
        for (int i = 1; i <= Events; i++) {
            text += fmt::format("id: {}\ndata: {} {}\n\n", i, id, i);
        }
        return text;
    }

    void check()
    {
        const auto runs = fleet_.allRuns();
        int whole = 0;
        for (const Sent &sent : sent_) {
            const auto found = runs.find(sent.id);
            const int count = found == runs.end() ? 0 : found->second;
            const bool isWhole = sent.call->result.transport == http::Transport::Completed;
            const int status = isWhole ? sent.call->status : 0;
            const bool isStream = sent.route == "stream" || sent.route == "single";
            const std::string expected = isStream ? eventsOf(sent.id) : fmt::format("{} body of {}", sent.id, sent.id);
            whole += status == StatusOk ? 1 : 0;
            EXPECT_LE(count, MaxAttempts.at(sent.route)) << sent.route << " " << sent.id << " ran too often";
            if (status == StatusOk) {
                EXPECT_EQ(sent.call->body, expected) << sent.route << " " << sent.id;
            }
            if (status == 429 || status == 503 || status == 408 || status == 421) {
                EXPECT_TRUE(count == 0 || sent.route == "safe" || sent.route == "stream") << sent.id << " was told as not run";
            }
            if (isStream && !isWhole && sent.call->status == StatusOk) {
                EXPECT_TRUE(expected.starts_with(sent.call->body)) << sent.id << " got " << sent.call->body;
            }
        }
        std::printf("%zu requests, %d answered whole\n", sent_.size(), whole);
        EXPECT_GT(whole, static_cast<int>(sent_.size()) / 10);
        checkArrivals();
    }

    void checkArrivals()
    {
        const std::vector<test::Arrival> arrivals = fleet_.allArrivals();
        for (const test::Arrival &arrival : arrivals) {
            EXPECT_GE(arrival.left, milliseconds(0)) << arrival.id << " does not say how long it may take";
            EXPECT_LE(arrival.left, CallerTime + TimeMargin) << arrival.id;
        }
        std::vector<TimePoint> requests;
        for (const Sent &sent : sent_) {
            requests.push_back(sent.at);
        }
        std::map<std::string, test::SentRequest> sentById;
        for (const Sent &sent : sent_) {
            sentById[sent.id] = {sent.entry, sent.at, sent.call};
        }
        const test::AnnouncementReport announcements = test::checkAnnouncements(arrivals, sentById, disturbances_);
        std::printf("%zu backoffs, %zu arrivals in one at most; %zu leavings, %zu arrivals after them\n",
            announcements.backoffs,
            announcements.mostInBackoff,
            announcements.leavings,
            announcements.lateAtLeaving);
        EXPECT_LE(announcements.mostInBackoff, test::AnnouncementBounds().arrivalsInBackoff) << "requests to a server that wants none";
        EXPECT_EQ(announcements.lateAtLeaving, 0U) << "requests to a server that has said it leaves";
        EXPECT_LE(test::mostBeyondBound(requests, test::repeatTimes(test::arrivalsById(arrivals)), test::RepeatBound()), 0) << "repeats beyond the budget";
    }

    void checkServiceIsBack()
    {
        fleet_.waitReady();
        for (int entry = 1; entry <= Entries; entry++) {
            const auto isServed = [&] {
                return fleet_.caller.call(fleet_.request(entry, "/safe/1", "after"))->status == StatusOk;
            };
            EXPECT_TRUE(fleet_.caller.waitUntil(isServed, fmt::format("entry {} serves again", entry)));
        }
    }

    std::mt19937 random_;
    std::vector<int> faultKinds_;
    RouteFleet fleet_;
    TimePoint end_;
    std::vector<Sent> sent_;
    int breaks_ = 0; ///< Faults that break streams off, so far.
    bool isRestoring_ = false;
    int probes_ = 0;
    std::set<std::string> pausedWorkers_;
    std::set<std::string> leavingWorkers_;
    std::vector<test::Disturbance> disturbances_;
    std::map<std::string, std::int64_t> workerStart_; ///< As its entry says it; 0: it says nothing.
    std::int64_t lastStart_ = 1'700'000'000'000;
    std::set<int> busy_; ///< Entry VMs that are paused or being restarted.
    std::vector<std::pair<TimePoint, int>> storePathHeals_;
    std::vector<std::pair<TimePoint, std::string>> workerPathHeals_;
    std::vector<std::pair<TimePoint, std::string>> workerHeals_;
    TimePoint storeHealsAt_ = TimePoint::max();
};

/// A key is taken away while a part of the VMs can't reach the store, by a manifest too large for what VMs tell each other, and
/// the list of servers goes on changing. The VMs are enough to be divided into groups.
class TakenKeyRun
{
public:
    explicit TakenKeyRun(unsigned seed)
        : random_(seed)
        , fleet_(GroupedEntries, 2, true)
    {
    }

    void run()
    {
        fleet_.waitReady();
        cutSome();
        waitFor(milliseconds(200 + random_() % 800));
        fleet_.putManifest(2, {"key-2"}, UnusedRoutes);
        const TimePoint takenAt = now();
        while (now() - takenAt < CutFor) {
            fleet_.listWorker("worker-1", "ready");
            askWithTakenKey();
            waitFor(milliseconds(100 + random_() % 100));
        }
        for (const int entry : cut_) {
            fleet_.setStorePathFault(entry, healed());
        }
        for (int i = 0; i < 20; i++) {
            askWithTakenKey();
            waitFor(milliseconds(100));
        }
        fleet_.caller.waitUntil([&] { return std::all_of(sent_.begin(), sent_.end(), [](const Sent &sent) { return sent.call->ended; }); }, "all end");
        for (const Sent &sent : sent_) {
            EXPECT_FALSE(sent.call->status == StatusOk && sent.at - takenAt > RevokeBound)
                << "entry " << sent.entry << " serves the key " << (sent.at - takenAt).count() / 1000 << " ms after it was taken away";
        }
        for (int entry = 1; entry <= GroupedEntries; entry++) {
            const auto isServed = [&] {
                return fleet_.caller.call(fleet_.request(entry, "/safe/1", "after", "key-2"))->status == StatusOk;
            };
            EXPECT_TRUE(fleet_.caller.waitUntil(isServed, fmt::format("entry {} serves the other key", entry)));
        }
    }

private:
    static constexpr int GroupedEntries = 27;
    static constexpr int UnusedRoutes = 300;
    static constexpr milliseconds CutFor = seconds(10);
    /// As in the fleet's settings.
    static constexpr milliseconds RevokeBound = seconds(5);

    struct Sent {
        int entry = 0;
        TimePoint at;
        TestCallPtr call;
    };

    TimePoint now()
    {
        return fleet_.caller.loop().now();
    }

    void waitFor(milliseconds time)
    {
        const TimePoint end = now() + time;
        fleet_.caller.waitUntil([&] { return now() >= end; }, "time passes");
    }

    static Json::Value healed()
    {
        Json::Value off = fault("cutToClient", false);
        off["closeAll"] = true;
        return off;
    }

    void cutSome()
    {
        for (int entry = 1; entry <= GroupedEntries; entry++) {
            if (random_() % 3 == 0) {
                fleet_.setStorePathFault(entry, fault("cutToClient"));
                cut_.push_back(entry);
            }
        }
    }

    void askWithTakenKey()
    {
        for (const int entry : cut_) {
            const std::string id = fmt::format("k{}", sent_.size());
            sent_.push_back({entry, now(), fleet_.caller.start(fleet_.request(entry, "/safe/1", id, "key-1"))});
        }
    }

    std::mt19937 random_;
    RouteFleet fleet_;
    std::vector<int> cut_; ///< Entry VMs that can't reach the store.
    std::vector<Sent> sent_;
};

std::vector<unsigned> chosenSeeds()
{
    const char *text = std::getenv("SOAK_SEEDS");
    std::istringstream list(text ? text : "1");
    std::vector<unsigned> seeds;
    for (unsigned seed = 0; list >> seed;) {
        seeds.push_back(seed);
    }
    return seeds;
}

seconds chosenLength()
{
    const char *text = std::getenv("SOAK_SECONDS");
    constexpr int UsualSeconds = 8;
    return seconds(text ? std::atoi(text) : UsualSeconds);
}

class Soak : public testing::TestWithParam<unsigned>
{
};

TEST_P(Soak, KeepsItsPromises)
{
    SoakRun(GetParam(), chosenLength(), FaultKinds).run();
}

TEST_P(Soak, KeepsItsPromisesWhileServersStartAgainUnderTheirNames)
{
    SoakRun(GetParam(), chosenLength(), FaultKindsWithRestarts).run();
}

TEST_P(Soak, KeepsItsPromisesWhileTheStoreIsRestored)
{
    SoakRun soak(GetParam(), chosenLength(), FaultKindsWithRestores);
    soak.run();
    soak.checkThatLeavingIsKnown();
}

TEST_P(Soak, KeepsToALimitThatAServerNames)
{
    SoakRun soak(GetParam(), chosenLength(), FaultKindsWithoutRestarts);
    soak.limitAServer();
    soak.run();
    EXPECT_LE(soak.mostInLimitWindow(), MostInLimitWindow);
    EXPECT_GT(soak.mostInLimitWindow(), 0);
}

TEST_P(Soak, RequestsThatCrashServersEnd)
{
    soak::CrashingSoak(GetParam(), chosenLength()).run();
}

// Guards against a part of prompts that crashes servers and is never found, as VMs that knew of its crashes are gone, or servers crash for other reasons.
TEST_P(Soak, PartsOfPromptsThatCrashServersEnd)
{
    soak::CrashingSoak(GetParam(), chosenLength()).runParts();
}

TEST_P(Soak, KeepsStreamsAtTheirVersion)
{
    soak::VersionsSoak(GetParam(), chosenLength()).run();
}

TEST_P(Soak, AKeyThatIsTakenAwayStopsWhileManyVmsLackTheStore)
{
    TakenKeyRun(GetParam()).run();
}

INSTANTIATE_TEST_SUITE_P(Seeds, Soak, testing::ValuesIn(chosenSeeds()), [](const auto &info) { return std::to_string(info.param); });

} // namespace
