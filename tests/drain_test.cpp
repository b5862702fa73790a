// A graceful shutdown cuts off no request.

#include "support/fleet.h"
#include "support/streaming.h"

#include <gtest/gtest.h>

#include <csignal>

using namespace cardamomlift;
using test::Fleet;
using test::StreamedAnswer;

namespace {

constexpr int Tokens = 90; // Longer than a VM that drains takes new work.
constexpr int OpenAtOnce = 60;

int countOf(const std::string &text, const std::string &part)
{
    int count = 0;
    for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) {
        count++;
    }
    return count;
}

/// Keeps a number of streams open before the entry VMs that are in the balancer's rotation.
class Load
{
public:
    explicit Load(Fleet &fleet)
        : rotation(fleet.entryNames)
        , fleet_(fleet)
    {
    }

    /// Replaces answers that ended, until @p condition holds.
    void runUntil(const std::function<bool()> &condition, const std::string &what)
    {
        fleet_.caller.waitUntil(
            [&] {
                step();
                return condition();
            },
            what);
    }

    void finish()
    {
        isFinishing_ = true;
        runUntil([&] { return open_.empty(); }, "the last answers");
    }

    int answered = 0;
    int refused = 0; ///< Told "not run" or not connected: the balancer sends these elsewhere.
    std::string cut;
    std::vector<std::string> rotation;

    /// Judges the answers that ended and starts as many new ones.
    void step()
    {
        std::erase_if(open_, [&](const StreamedAnswer &answer) {
            if (answer.call->ended) {
                judge(answer);
            }
            return answer.call->ended;
        });
        while (!isFinishing_ && open_.size() < OpenAtOnce) {
            StreamedAnswer answer;
            answer.content = "load " + std::to_string(next_);
            answer.maxTokens = Tokens;
            answer.call = fleet_.caller.start(fleet_.chat(rotation[next_++ % rotation.size()], answer.content, Tokens));
            open_.push_back(std::move(answer));
        }
    }

private:
    void judge(const StreamedAnswer &answer)
    {
        const bool isNotRun = http::headerValue(answer.call->headers, "Cardamomlift-Outcome") == "not-run";
        if (isNotRun || answer.call->result.transport == http::Transport::NotSent) {
            refused++;
            return;
        }
        const std::string fault = answer.fault();
        cut += fault.empty() ? "" : answer.content + ": " + fault + "\n";
        answered++;
    }

    Fleet &fleet_;
    std::vector<StreamedAnswer> open_;
    std::size_t next_ = 0;
    bool isFinishing_ = false;
};

} // namespace

TEST(Drain, RollingRestartOfAllEntryVmsCutsNothing)
{
    Fleet fleet(3);
    fleet.addEngine("engine-1", "zone-1", {"--token-ms", "20", "--max-batch", "200", "--batch-slowdown", "0"});
    fleet.waitReady();
    Load load(fleet);
    load.runUntil([&] { return load.answered >= OpenAtOnce; }, "the first answers");
    const std::vector<std::string> olds = fleet.entryNames;
    for (const std::string &old : olds) {
        const std::string fresh = old + "-new";
        fleet.addEntry(fresh, "zone-1");
        fleet.waitReady();
        load.rotation.push_back(fresh);
        fleet.processes[old]->signal(SIGTERM);
        // The balancer goes on sending until its health check fails.
        const int port = fleet.processes[old]->port("callers");
        while (fleet.caller.get(port, "/health")->status == 200) {
            load.step();
        }
        load.step();
        std::erase(load.rotation, old);
        load.runUntil([&] { return !fleet.processes[old]->isRunning(); }, "the end of " + old);
        EXPECT_EQ(fleet.processes[old]->wait(), 0);
        std::erase(fleet.entryNames, old);
        fleet.forget(old);
        fleet.processes.erase(old);
    }
    load.finish();
    EXPECT_EQ(load.cut, "");
    EXPECT_GT(load.answered, 4 * OpenAtOnce);
    std::printf("measured: answered %d, refused %d, cut 0; copy p50 %.1f ms, p95 %.1f ms\n",
        load.answered,
        load.refused,
        fleet.metric("entry-1-new", "copy_seconds{quantile=\"0.5\"}") * 1000,
        fleet.metric("entry-1-new", "copy_seconds{quantile=\"0.95\"}") * 1000);
}

TEST(Drain, StreamsOpenAfterTheBoundMoveOn)
{
    Fleet fleet(1);
    fleet.addEntry("entry-2", "zone-2", [](Json::Value &settings) { settings["limits"]["drainSeconds"] = 1; });
    fleet.addEngine("engine-1", "zone-3", {"--token-ms", "50"});
    fleet.waitReady();
    auto answers = test::startStreams(fleet, "entry-2", 20, 80);
    test::waitTokens(fleet, answers, 2);
    fleet.processes["entry-2"]->signal(SIGTERM);
    fleet.caller.waitUntil([&] { return fleet.processes["entry-2"]->log().find("Handing over.") != std::string::npos; }, "the drain");
    fleet.processes["entry-2"]->signal(SIGTERM);
    fleet.caller.waitUntil([&] { return !fleet.processes["entry-2"]->isRunning(); }, "the end of the VM");
    EXPECT_EQ(fleet.processes["entry-2"]->wait(), 0);
    const std::string log = fleet.processes["entry-2"]->log();
    EXPECT_NE(log.find("Still open. part=streams open=20"), std::string::npos);
    // Told by the second signal and at the bound; all had moved when the VM stopped.
    EXPECT_EQ(countOf(log, "Still open. part=streams"), 2);
    EXPECT_NE(log.find("copies=40"), std::string::npos) << log;
    test::resumeAll(fleet, answers, {"entry-1"});
    EXPECT_EQ(test::faultsOf(answers), "");
    EXPECT_EQ(fleet.metric("entry-1", "requests_taken_total"), 20);
}

TEST(Drain, ACallerMayResumeElsewhereWhileTheVmDrains)
{
    Fleet fleet(2);
    fleet.addEngine("engine-1", "zone-3", {"--token-ms", "30"});
    fleet.waitReady();
    auto answers = test::startStreams(fleet, "entry-1", 10, 80);
    test::waitTokens(fleet, answers, 2);
    fleet.processes["entry-1"]->signal(SIGTERM);
    for (const StreamedAnswer &answer : answers) {
        fleet.caller.hangUp(answer.call);
    }
    test::resumeAll(fleet, answers, {"entry-2"});
    EXPECT_EQ(test::faultsOf(answers), "");
    EXPECT_EQ(fleet.processes["entry-1"]->wait(), 0);
}
