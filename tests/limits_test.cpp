#include "http/json.h"
#include "support/contracts.h"
#include "support/fleet.h"
#include "support/streaming.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <csignal>
#include <sstream>

// The limits and the spending bound of one customer, over several entry VMs that die, pause and lose the table.

using namespace cardamomlift;
using test::Fleet;

namespace {

constexpr int OutputTokens = 20;
// With these prices a token costs a thousandth of the bound.
constexpr int TokensOfBound = 1000;
constexpr char LowBound[] = R"("spending": {"perDayCents": 100, "centsPerMillionTokens": 100000, "centsPerThousandCalls": 100})";
constexpr char AmpleBound[] = R"("spending": {"perDayCents": 100000, "centsPerMillionTokens": 1, "centsPerThousandCalls": 1})";

std::string replaceLine(const std::string &text, const std::string &name, const std::string &line)
{
    std::istringstream input(text);
    std::string result;
    for (std::string next; std::getline(input, next);) {
        const bool isMeant = next.find("\"" + name + "\":") != std::string::npos;
        result += (isMeant ? line + (next.ends_with(",") ? "," : "") : next) + "\n";
    }
    return result;
}

/// Puts the co-op's contract in force everywhere with other limits and another spending bound.
void applyContract(Fleet &fleet, const std::string &limits, const std::string &spending)
{
    const std::string changed = replaceLine(replaceLine(test::exampleContract(), "limits", limits), "spending", spending);
    std::string output;
    ASSERT_EQ(fleet.tool({"apply", test::writeScratchFile("contract.json", changed), "--confirm"}, output), 0) << output;
    for (const std::string &entry : fleet.entryNames) {
        const auto isInForce = [](const Json::Value &status) {
            return test::versionInForce(status) >= 2;
        };
        fleet.waitStatus(entry, isInForce, "the second version");
    }
}

std::string limitsLine(int requestsPerSecond, int openRequests)
{
    return fmt::format(R"("limits": {{"requestsPerSecond": {}, "openRequests": {}, "tokensPerMinute": 20000000}})", requestsPerSecond, openRequests);
}

std::string codeOf(const test::TestCallPtr &call)
{
    return call->status == 200 ? "" : call->errorCode();
}

/// Sends @p count requests to each entry VM at once and waits for those of VMs that run. Returns the refusals by code.
std::map<std::string, int> wave(Fleet &fleet, const std::vector<std::string> &entries, int count)
{
    std::vector<test::TestCallPtr> calls;
    for (const std::string &entry : entries) {
        for (int i = 0; i < count; i++) {
            calls.push_back(fleet.caller.start(fleet.chat(entry, "a proof", OutputTokens, false)));
        }
    }
    fleet.caller.waitEnded(calls, "the end of a wave");
    std::map<std::string, int> codes;
    for (const auto &call : calls) {
        codes[codeOf(call)]++;
    }
    return codes;
}

std::int64_t tokensMade(Fleet &fleet, const std::vector<std::string> &engines)
{
    std::int64_t sum = 0;
    for (const std::string &engine : engines) {
        const Json::Value totals = fleet.caller.get(fleet.processes[engine]->port(), "/totals")->json();
        sum += totals["tokens"].asInt64() + totals["promptTokens"].asInt64();
    }
    return sum;
}

/// Sends to @p entry until it refuses because of the bound.
void spendToTheBound(Fleet &fleet, const std::string &entry)
{
    for (int i = 0; i < 200; i++) {
        const auto call = fleet.caller.call(fleet.chat(entry, "a proof", OutputTokens, false));
        if (codeOf(call) == "spending_bound") {
            return;
        }
        if (call->status != 200) {
            usleep(50 * 1000);
        }
    }
    ADD_FAILURE() << entry << " never came to the bound";
}

} // namespace

TEST(SpendingBound, OneVmMaySpendAllAndThenNoneSpendsMore)
{
    Fleet fleet(3);
    fleet.addEngine("engine-1", "zone-1");
    fleet.waitReady();
    applyContract(fleet, limitsLine(1000, 1000), LowBound);
    spendToTheBound(fleet, "entry-2");
    const std::int64_t made = tokensMade(fleet, {"engine-1"});
    EXPECT_LE(made, TokensOfBound);
    EXPECT_GE(made, TokensOfBound - 100) << "what is left is less than the worst case of one request";
    const auto refused = fleet.caller.call(fleet.chat("entry-1", "a proof", OutputTokens));
    EXPECT_EQ(codeOf(refused), "spending_bound") << refused->body;
    EXPECT_EQ(refused->status, 429);
    EXPECT_FALSE(http::headerValue(refused->headers, "Retry-After").empty());
}

TEST(SpendingBound, HoldsWhileVmsDieAndPause)
{
    Fleet fleet(3);
    fleet.addEngine("engine-1", "zone-1", {"--token-ms", "5"});
    fleet.waitReady();
    applyContract(fleet, limitsLine(1000, 1000), LowBound);
    wave(fleet, fleet.entryNames, 2);
    // One VM dies and one pauses, each with requests under way that go on at the engine.
    std::vector<test::TestCallPtr> calls;
    for (const char *entry : {"entry-2", "entry-3", "entry-2", "entry-3"}) {
        calls.push_back(fleet.caller.start(fleet.chat(entry, "a proof", OutputTokens)));
    }
    fleet.caller.waitUntil(
        [&] { return std::all_of(calls.begin(), calls.end(), [](const auto &call) { return call->status == 200; }); }, "the streams to start");
    fleet.processes["entry-2"]->signal(SIGKILL);
    fleet.processes["entry-3"]->signal(SIGSTOP);
    spendToTheBound(fleet, "entry-1");
    fleet.processes["entry-3"]->signal(SIGCONT);
    spendToTheBound(fleet, "entry-3");
    spendToTheBound(fleet, "entry-1");
    const std::int64_t made = tokensMade(fleet, {"engine-1"});
    EXPECT_LE(made, TokensOfBound);
    EXPECT_GE(made, TokensOfBound / 2);
}

TEST(SpendingBound, HoldsWhileTheTableIsDownOrLosesAnswers)
{
    Fleet fleet(2);
    fleet.addEngine("engine-1", "zone-1");
    fleet.waitReady();
    applyContract(fleet, limitsLine(1000, 1000), LowBound);
    Json::Value lose;
    lose["loseNext"] = 2;
    fleet.controlPlatform("/control/table", lose);
    wave(fleet, fleet.entryNames, 3);
    Json::Value down;
    down["down"] = true;
    fleet.controlPlatform("/control/table", down);
    std::map<std::string, int> codes = wave(fleet, fleet.entryNames, 20);
    EXPECT_GT(codes["table_down"], 0) << "what the VMs hold is far less than forty requests need";
    EXPECT_EQ(codes["spending_bound"], 0) << "a bound that can't be read is not said to be reached";
    down["down"] = false;
    fleet.controlPlatform("/control/table", down);
    spendToTheBound(fleet, "entry-1");
    spendToTheBound(fleet, "entry-2");
    const std::int64_t made = tokensMade(fleet, {"engine-1"});
    EXPECT_LE(made, TokensOfBound);
    EXPECT_GE(made, TokensOfBound - 200) << "a lost answer loses no money";
}

TEST(SpendingBound, HoldsWhenRequestsMoveToAnotherVm)
{
    constexpr int Moved = 6;
    constexpr int LongOutput = 100;
    Fleet fleet(2);
    fleet.addEngine("engine-1", "zone-1", {"--token-ms", "20"});
    fleet.waitReady();
    applyContract(fleet, limitsLine(1000, 1000), LowBound);
    std::vector<test::StreamedAnswer> answers = test::startStreams(fleet, "entry-1", Moved, LongOutput);
    test::waitTokens(fleet, answers, 3);
    for (const test::StreamedAnswer &answer : answers) {
        fleet.caller.hangUp(answer.call);
    }
    test::resumeAll(fleet, answers, {"entry-2"});
    EXPECT_EQ(test::faultsOf(answers), "");
    spendToTheBound(fleet, "entry-1");
    spendToTheBound(fleet, "entry-2");
    EXPECT_LE(tokensMade(fleet, {"engine-1"}), TokensOfBound);
}

TEST(SpendingBound, PlainCallsCountToo)
{
    constexpr int CallsOfBound = 50;
    Fleet fleet(3);
    test::Process &service = fleet.addService("orders-1", "zone-1");
    fleet.waitReady();
    applyContract(fleet, limitsLine(1000, 1000), R"("spending": {"perDayCents": 100, "centsPerMillionTokens": 1, "centsPerThousandCalls": 2000})");
    std::map<std::string, int> codes;
    for (int i = 0; i < CallsOfBound; i++) {
        for (const std::string &entry : fleet.entryNames) {
            codes[codeOf(fleet.caller.call(fleet.serviceCall(entry, "/orders/tags", "{}", "")))]++;
        }
    }
    EXPECT_GT(codes["spending_bound"], 0);
    EXPECT_LE(fleet.caller.get(service.port(), "/runs")->json()["runs"].asInt(), CallsOfBound);
    EXPECT_GE(codes[""], CallsOfBound - 3);
}

TEST(FleetLimits, OneVmMayUseTheWholeLimitAndAllTogetherNoMore)
{
    constexpr int PerSecond = 30;
    Fleet fleet(3);
    fleet.addEngine("engine-1", "zone-1");
    fleet.waitReady();
    applyContract(fleet, limitsLine(PerSecond, 1000), AmpleBound);
    EXPECT_EQ(wave(fleet, {"entry-2"}, PerSecond - 5)[""], PerSecond - 5) << "within the limit, all at one VM";
    const TimePoint start = fleet.caller.loop().now();
    int admitted = 0;
    std::map<std::string, int> codes;
    for (int i = 0; i < 5; i++) {
        codes = wave(fleet, fleet.entryNames, PerSecond);
        admitted += codes[""];
    }
    const double seconds = std::chrono::duration<double>(fleet.caller.loop().now() - start).count();
    EXPECT_LE(admitted, PerSecond * (seconds + 2)) << "the rate, a burst and what was granted ahead";
    EXPECT_GT(codes["too_many_requests"], 0);
}

TEST(FleetLimits, OpenRequestsAreCountedOverAllVmsAndADeadVmsAreFreed)
{
    constexpr int Open = 6;
    Fleet fleet(3);
    fleet.addEngine("engine-1", "zone-1", {"--token-ms", "200"});
    fleet.waitReady();
    applyContract(fleet, limitsLine(1000, Open), AmpleBound);
    std::vector<test::TestCallPtr> calls;
    calls.reserve(Open);
    for (int i = 0; i < Open; i++) {
        calls.push_back(fleet.caller.start(fleet.chat("entry-1", "a proof", 4000)));
    }
    fleet.caller.waitUntil(
        [&] { return std::all_of(calls.begin(), calls.end(), [](const auto &call) { return call->status == 200; }); }, "the streams to start");
    EXPECT_EQ(codeOf(fleet.caller.call(fleet.chat("entry-2", "one more", OutputTokens, false))), "too_many_open");
    fleet.processes["entry-1"]->signal(SIGKILL);
    fleet.forget("entry-1");
    bool isIn = false;
    for (int i = 0; i < 200 && !isIn; i++) {
        isIn = fleet.caller.call(fleet.chat("entry-2", "one more", 1, false))->status == 200;
        usleep(50 * 1000);
    }
    EXPECT_TRUE(isIn) << "the slots of a VM that is gone are never freed";
}
