// Each caller receives the whole answer to its own request.

#include "support/fleet.h"
#include "support/streaming.h"

#include <gtest/gtest.h>

#include <csignal>
#include <fstream>
#include <sstream>

using namespace cardamomlift;
using test::Fleet;
using test::StreamedAnswer;

namespace {

constexpr int Tokens = 30;

std::vector<StreamedAnswer> startAtAll(Fleet &fleet, int eachVm, int tokens)
{
    std::vector<StreamedAnswer> answers;
    for (const std::string &entry : fleet.entryNames) {
        auto more = test::startStreams(fleet, entry, eachVm, tokens);
        answers.insert(answers.end(), std::make_move_iterator(more.begin()), std::make_move_iterator(more.end()));
    }
    return answers;
}

void waitAll(Fleet &fleet, const std::vector<StreamedAnswer> &answers)
{
    const auto hasEnded = [](const StreamedAnswer &answer) {
        return answer.call->ended;
    };
    fleet.caller.waitUntil([&] { return std::all_of(answers.begin(), answers.end(), hasEnded); }, "all answers");
}

/// Starts an engine that the entry VMs know only by a proxy's port: its own is never announced.
test::Process &addEngineBehindProxy(Fleet &fleet, const std::string &instance)
{
    auto &engine = fleet.processes[instance];
    engine = test::Process::start("standin-engine", {"--instance", instance, "--token-ms", "5"});
    int port = 0;
    test::Process &proxy = fleet.addProxy(engine->port(), port);
    fleet.announce(instance, "model", "zone-1", port);
    return proxy;
}

/// The example contract allows 200 requests a second; this test sends more at once.
void raiseRequestRate(Fleet &fleet)
{
    std::ifstream file(std::string(CARDAMOMLIFT_SOURCES) + "/examples/co-op/contract.json");
    std::stringstream text;
    text << file.rdbuf();
    std::string contract = text.str();
    const std::string limit = "\"requestsPerSecond\": 200";
    contract.replace(contract.find(limit), limit.size(), "\"requestsPerSecond\": 20000");
    std::string output;
    ASSERT_EQ(fleet.tool({"apply", test::writeScratchFile("faster.json", contract), "--confirm"}, output), 0) << output;
    for (const std::string &entry : fleet.entryNames) {
        const auto isInForce = [](const Json::Value &status) {
            const Json::Value &version = status["contracts"]["print-co-op"];
            return (version.isObject() ? version["version"] : version).asInt() >= 2;
        };
        fleet.waitStatus(entry, isInForce, "the second version");
    }
}

/// What the copies at acceptance cost, within bounds; timing is printed only.
void checkCostOfCopies(Fleet &fleet, double requests)
{
    double copies = 0;
    double calls = 0;
    double bytes = 0;
    for (const std::string &entry : fleet.entryNames) {
        copies += fleet.metric(entry, "copies_sent_total");
        calls += fleet.metric(entry, "copy_calls_total");
        bytes += fleet.metric(entry, "copy_bytes_total");
    }
    EXPECT_LE(copies / requests, 1.5);
    EXPECT_LE(calls / requests, 1.5);
    EXPECT_LE(bytes / requests, 1000);
    std::printf("measured: a request: copies %.3f, calls %.3f, bytes %.0f; copy p50 %.1f ms, p95 %.1f ms\n",
        copies / requests,
        calls / requests,
        bytes / requests,
        fleet.metric("entry-1", "copy_seconds{quantile=\"0.5\"}") * 1000,
        fleet.metric("entry-1", "copy_seconds{quantile=\"0.95\"}") * 1000);
}

} // namespace

TEST(Answers, ThousandConcurrentStreamsAreEachTheirOwn)
{
    // Four VMs: each lets in 256 at once before it has learned what the engines take.
    Fleet fleet(4);
    // All run at once, none waits for a place in a batch.
    const std::vector<std::string> options{"--token-ms", "20", "--max-batch", "1000", "--batch-slowdown", "0"};
    fleet.addEngine("engine-1", "zone-1", options);
    fleet.addEngine("engine-2", "zone-2", options);
    fleet.waitReady();
    raiseRequestRate(fleet);
    const auto answers = startAtAll(fleet, 250, Tokens);
    waitAll(fleet, answers);
    EXPECT_EQ(answers.size(), 1000U);
    EXPECT_EQ(test::faultsOf(answers), "");
    checkCostOfCopies(fleet, static_cast<double>(answers.size()));
}

TEST(Answers, ConnectionsThatBreakMixNothingUp)
{
    Fleet fleet(2);
    test::Process &proxy = addEngineBehindProxy(fleet, "engine-1");
    fleet.addEngine("engine-2", "zone-2", {"--token-ms", "5"});
    fleet.waitReady();
    Json::Value delay;
    delay["delayMs"] = 40;
    fleet.controlProxy(proxy, delay);
    const auto answers = startAtAll(fleet, 50, Tokens * 2);
    test::waitTokens(fleet, answers, 3);
    Json::Value cut;
    cut["closeAll"] = true;
    fleet.controlProxy(proxy, cut);
    waitAll(fleet, answers);
    EXPECT_EQ(test::faultsOf(answers), "");
    // The streams were joined again, at the same server or another one.
    for (const std::string &entry : fleet.entryNames) {
        const double joined = fleet.metric(entry, "streams_moved_total{how=\"resume\"}");
        EXPECT_GT(joined + fleet.metric(entry, "retries_total{reason=\"stream_broken\"}"), 0) << entry;
    }
}

TEST(Answers, ANewVmAtAnOldAddressAnswersNobody)
{
    Fleet fleet(1);
    const int port = fleet.addEngine("engine-1", "zone-1").port();
    fleet.addEngine("engine-2", "zone-2");
    fleet.waitReady();
    fleet.processes["engine-1"]->signal(SIGKILL);
    fleet.processes["engine-1"]->wait();
    // The list still names engine-1 at this address.
    auto reused = test::Process::start("standin-engine", {"--instance", "engine-9", "--port", std::to_string(port)});
    const auto answers = startAtAll(fleet, 20, Tokens);
    waitAll(fleet, answers);
    EXPECT_EQ(test::faultsOf(answers), "");
    EXPECT_EQ(fleet.caller.get(reused->port(), "/totals")->json()["started"].asInt(), 0);
}

TEST(Answers, WholeAnswersBelongToTheirRequests)
{
    Fleet fleet(3);
    fleet.addEngine("engine-1", "zone-1", {"--token-ms", "2"});
    fleet.waitReady();
    std::vector<StreamedAnswer> answers;
    for (int i = 0; i < 150; i++) {
        StreamedAnswer answer;
        answer.content = "whole " + std::to_string(i);
        answer.call = fleet.caller.start(fleet.chat(fleet.entryNames[static_cast<std::size_t>(i) % 3], answer.content, Tokens, false));
        answers.push_back(std::move(answer));
    }
    waitAll(fleet, answers);
    for (const StreamedAnswer &answer : answers) {
        std::string expected;
        for (const std::string &token : Fleet::expectedTokens(answer.content, 7, Tokens)) {
            expected += token;
        }
        const Json::Value json = answer.call->json();
        EXPECT_EQ(json["choices"][0]["message"]["content"].asString(), expected);
    }
}
