#include "http/json.h"
#include "support/contracts.h"
#include "support/fleet.h"

#include <gtest/gtest.h>

#include <csignal>
#include <cstdio>

using namespace cardamomlift;
using test::Fleet;
using test::TestCallPtr;

namespace {

constexpr char Path[] = "/orders/orders";
constexpr char Body[] = "{\"pallets\":1}";
constexpr char OutcomeHeader[] = "Cardamomlift-Outcome";
constexpr char KeyOutcomeHeader[] = "Cardamomlift-Key-Outcome";

Json::Value json(const std::string &text)
{
    return http::parseJson(text).value();
}

std::string header(const TestCallPtr &call, const char *name)
{
    return std::string(http::headerValue(call->headers, name));
}

/// The co-op's contract with limits that don't matter here and calls without a price: all writes to the table are claims.
std::string freeOrdersContract()
{
    const std::string contract = test::withReplaced(test::exampleContract(), "\"requestsPerSecond\": 200", "\"requestsPerSecond\": 100000");
    return test::withReplaced(contract, "\"centsPerThousandCalls\": 5", "\"centsPerThousandCalls\": 0");
}

/// Three entry VMs and plain services, which count their runs.
class AtMostOnce : public ::testing::Test
{
protected:
    AtMostOnce()
        : fleet(3)
    {
        std::string output;
        EXPECT_EQ(fleet.tool({"apply", "--confirm", test::writeScratchFile("free-orders.json", freeOrdersContract())}, output), 0) << output;
        const auto isInForce = [](const Json::Value &status) {
            return test::versionInForce(status) == 2;
        };
        for (const std::string &entry : fleet.entryNames) {
            fleet.waitStatus(entry, isInForce, "the contract with free orders");
        }
    }

    void startService(const std::vector<std::string> &arguments = {})
    {
        service = &fleet.addService("orders-1", "zone-1", arguments);
        fleet.waitReady();
    }

    /// The entry VMs know the service only through the proxy.
    test::Process &startServiceBehindProxy()
    {
        auto &process = fleet.processes["orders-1"];
        process = test::Process::start("standin-service", {"--instance", "orders-1"});
        service = process.get();
        int port = 0;
        test::Process &proxy = fleet.addProxy(service->port(), port);
        fleet.announce("orders-1", "service", "zone-1", port);
        fleet.waitReady();
        return proxy;
    }

    /// Makes @p count calls at once at entry-1 and prints what they cost the table.
    void measureWrites(int count)
    {
        const auto before = tableTotals();
        std::vector<TestCallPtr> calls;
        calls.reserve(static_cast<std::size_t>(count));
        for (int i = 0; i < count; i++) {
            calls.push_back(start("entry-1", "many-" + std::to_string(count) + "-" + std::to_string(i)));
        }
        fleet.caller.waitEnded(calls, "the end of all calls");
        for (const TestCallPtr &each : calls) {
            EXPECT_EQ(each->status, 200) << each->body;
        }
        waitFor([&] { return fleet.metric("entry-1", "claims_unsettled") == 0; }, "the table to have all answers");
        const auto after = tableTotals();
        const auto requests = after["writeRequests"].asInt() - before["writeRequests"].asInt();
        const auto items = after["itemsWritten"].asInt() - before["itemsWritten"].asInt();
        std::printf("at-once=%d write-requests=%d items=%d reads=%d\n", count, requests, items, after["reads"].asInt() - before["reads"].asInt());
        EXPECT_EQ(items, 2 * count);
        EXPECT_LE(requests, count == 1 ? 2 : count);
    }

    TestCallPtr start(const std::string &entry, const std::string &key)
    {
        return fleet.caller.start(fleet.serviceCall(entry, Path, Body, key));
    }

    TestCallPtr call(const std::string &entry, const std::string &key)
    {
        return fleet.caller.call(fleet.serviceCall(entry, Path, Body, key));
    }

    std::vector<TestCallPtr> callEverywhere(const std::string &key)
    {
        std::vector<TestCallPtr> calls;
        calls.reserve(fleet.entryNames.size());
        for (const std::string &entry : fleet.entryNames) {
            calls.push_back(start(entry, key));
        }
        fleet.caller.waitEnded(calls, "the end of the calls at all entry VMs");
        return calls;
    }

    /// Repeats the call at all entry VMs at once until one of them is answered; expects the same answer from all that are.
    TestCallPtr repeatUntilAnswered(const std::string &key)
    {
        for (int round = 0; round < 200; round++) {
            const auto calls = callEverywhere(key);
            TestCallPtr answered;
            for (const TestCallPtr &each : calls) {
                if (each->status != 200) {
                    continue;
                }
                EXPECT_TRUE(!answered || answered->body == each->body) << each->body;
                answered = each;
            }
            if (answered) {
                return answered;
            }
        }
        ADD_FAILURE() << "never answered: " << key;
        return call("entry-1", key);
    }

    int runs(const std::string &key)
    {
        return fleet.caller.get(service->port(), "/runs")->json()["byKey"].get(key, 0).asInt();
    }

    Json::Value tableTotals()
    {
        return fleet.caller.get(fleet.platform->port(), "/totals")->json()["table"];
    }

    void controlTable(const std::string &faults)
    {
        fleet.controlPlatform("/control/table", json(faults));
    }

    /// Waits on a condition that itself makes calls.
    void waitFor(const std::function<bool()> &condition, const std::string &what)
    {
        for (int i = 0; i < 5000; i++) {
            if (condition()) {
                return;
            }
        }
        ADD_FAILURE() << "Waited in vain: " << what;
    }

    /// Starts a call at entry-1 and stops that VM by @p signal after its claim took effect, before the VM learns of it.
    TestCallPtr stopHolderAfterClaim(const std::string &key, int signal)
    {
        const auto before = tableTotals()["writeRequests"].asUInt();
        controlTable(R"({"delayMs": 400})");
        const auto held = start("entry-1", key);
        waitFor([&] { return tableTotals()["heldWrites"].asUInt() > 0; }, "the claim at the table");
        fleet.processes["entry-1"]->signal(signal);
        controlTable(R"({"delayMs": 0})");
        waitFor([&] { return tableTotals()["writeRequests"].asUInt() > before; }, "the effect of the claim");
        return held;
    }

    Fleet fleet;
    test::Process *service = nullptr;
};

} // namespace

TEST_F(AtMostOnce, SameKeyAtThreeEntryVmsAtOnce)
{
    startService({"--delay-ms", "300"});
    for (const char *key : {"key-1", "key-2", "key-3"}) {
        const auto calls = callEverywhere(key);
        for (const TestCallPtr &each : calls) {
            EXPECT_EQ(each->status, 200) << each->body;
            EXPECT_EQ(each->body, calls.front()->body);
            EXPECT_FALSE(header(each, "X-Served-By").empty());
        }
        EXPECT_EQ(runs(key), 1);
    }
}

TEST_F(AtMostOnce, LostAnswersOfTheTable)
{
    startService();
    controlTable(R"({"loseAnswers": true})");
    const auto first = call("entry-1", "key-1");
    EXPECT_EQ(first->status, 200) << first->body;
    EXPECT_EQ(callEverywhere("key-1").back()->body, first->body);
    controlTable(R"({"loseAnswers": false})");
    EXPECT_EQ(repeatUntilAnswered("key-1")->body, first->body);
    EXPECT_EQ(runs("key-1"), 1);
}

TEST_F(AtMostOnce, ClaimAnswerLostThenTableDownThenRepeatsEverywhere)
{
    startService();
    controlTable(R"({"loseNext": 1, "downAfterLoss": true})");
    const auto first = call("entry-1", "key-1");
    EXPECT_EQ(first->status, 503) << first->body;
    EXPECT_EQ(header(first, OutcomeHeader), "not-run");
    for (int round = 0; round < 2; round++) {
        for (const TestCallPtr &each : callEverywhere("key-1")) {
            EXPECT_EQ(each->status, 503) << each->body;
            EXPECT_EQ(header(each, KeyOutcomeHeader), "not-looked-up");
            EXPECT_FALSE(header(each, "Retry-After").empty());
        }
    }
    EXPECT_EQ(runs("key-1"), 0);
    controlTable(R"({"down": false})");
    repeatUntilAnswered("key-1");
    EXPECT_EQ(runs("key-1"), 1);
}

TEST_F(AtMostOnce, AnswerGivenWhileTheTableIsDownIsKept)
{
    startService({"--delay-ms", "500"});
    const auto first = start("entry-1", "key-1");
    waitFor([&] { return runs("key-1") == 1; }, "the run");
    controlTable(R"({"down": true})");
    fleet.caller.waitUntil([&] { return first->ended; }, "the answer");
    EXPECT_EQ(first->status, 200) << first->body;
    EXPECT_FALSE(header(first, "Idempotency-Expires").empty());
    EXPECT_EQ(call("entry-2", "key-1")->status, 503);
    fleet.processes["entry-1"]->signal(SIGTERM);
    EXPECT_EQ(call("entry-3", "key-1")->status, 503);
    EXPECT_TRUE(fleet.processes["entry-1"]->isRunning()) << "It left before the table had the answer.";
    controlTable(R"({"down": false})");
    EXPECT_EQ(fleet.processes["entry-1"]->wait(), 0);
    EXPECT_EQ(call("entry-2", "key-1")->body, first->body);
    EXPECT_EQ(runs("key-1"), 1);
}

TEST_F(AtMostOnce, HolderPausedBeyondItsLeaseDoesNotSend)
{
    startService();
    const auto held = stopHolderAfterClaim("key-1", SIGSTOP);
    const TimePoint paused = fleet.caller.loop().now();
    const auto other = call("entry-2", "key-1");
    EXPECT_EQ(other->status, 502) << other->body;
    EXPECT_EQ(header(other, OutcomeHeader), "unknown");
    fleet.caller.waitUntil([&] { return fleet.caller.loop().now() - paused > std::chrono::milliseconds(3200); }, "the end of the lease");
    fleet.processes["entry-1"]->signal(SIGCONT);
    fleet.caller.waitUntil([&] { return held->ended; }, "the answer of the woken holder");
    EXPECT_EQ(held->status, 503) << held->body;
    EXPECT_EQ(header(held, OutcomeHeader), "not-run");
    EXPECT_EQ(runs("key-1"), 0);
    repeatUntilAnswered("key-1");
    EXPECT_EQ(runs("key-1"), 1);
}

TEST_F(AtMostOnce, HolderKilledBetweenClaimAndDispatch)
{
    startService();
    stopHolderAfterClaim("key-1", SIGKILL);
    const auto other = call("entry-2", "key-1");
    EXPECT_EQ(other->status, 502) << other->body;
    EXPECT_EQ(header(other, OutcomeHeader), "unknown");
    EXPECT_EQ(runs("key-1"), 0);
}

TEST_F(AtMostOnce, HolderKilledDuringAndAfterTheRun)
{
    startService({"--delay-ms", "400"});
    const auto whole = call("entry-1", "key-before");
    start("entry-1", "key-during");
    waitFor([&] { return runs("key-during") == 1; }, "the run");
    fleet.processes["entry-1"]->signal(SIGKILL);
    for (const char *entry : {"entry-2", "entry-3"}) {
        const auto repeat = call(entry, "key-during");
        EXPECT_EQ(repeat->status, 502) << repeat->body;
        EXPECT_EQ(header(repeat, OutcomeHeader), "unknown");
        EXPECT_EQ(call(entry, "key-before")->body, whole->body);
    }
    EXPECT_EQ(runs("key-during"), 1);
    EXPECT_EQ(runs("key-before"), 1);
}

TEST_F(AtMostOnce, ConnectionResetAfterTheRequestIsUnknown)
{
    test::Process &proxy = startServiceBehindProxy();
    fleet.controlProxy(proxy, json(R"({"resetAfterRequest": true})"));
    const auto first = call("entry-1", "key-1");
    EXPECT_EQ(first->status, 502) << first->body;
    EXPECT_EQ(header(first, OutcomeHeader), "unknown");
    fleet.controlProxy(proxy, json(R"({"resetAfterRequest": false})"));
    for (const TestCallPtr &each : callEverywhere("key-1")) {
        EXPECT_EQ(each->status, 502) << each->body;
        EXPECT_EQ(header(each, OutcomeHeader), "unknown");
    }
    EXPECT_EQ(runs("key-1"), 1);
}

TEST_F(AtMostOnce, ConnectionClosedBeforeTheServerReadIsUnknown)
{
    test::Process &proxy = startServiceBehindProxy();
    // The proxy takes the request and does not pass it on while the test lasts.
    fleet.controlProxy(proxy, json(R"({"delayMs": 600000})"));
    const auto first = start("entry-1", "key-1");
    waitFor([&] { return fleet.caller.get(proxy.port("control"), "/totals/0")->json()["bytesToServer"].asInt() > 0; }, "the request at the proxy");
    fleet.controlProxy(proxy, json(R"({"closeAll": true, "delayMs": 0})"));
    fleet.caller.waitUntil([&] { return first->ended; }, "the answer");
    EXPECT_EQ(first->status, 502) << first->body;
    EXPECT_EQ(header(first, OutcomeHeader), "unknown");
    EXPECT_EQ(call("entry-2", "key-1")->status, 502);
    EXPECT_EQ(runs("key-1"), 0);
}

TEST_F(AtMostOnce, ConnectionClosedAtOnceIsToldTruthfully)
{
    test::Process &proxy = startServiceBehindProxy();
    // The close may come before or after the first byte was written; what is said must hold either way.
    fleet.controlProxy(proxy, json(R"({"refuse": true})"));
    const auto first = call("entry-1", "key-1");
    EXPECT_EQ(runs("key-1"), 0);
    fleet.controlProxy(proxy, json(R"({"refuse": false})"));
    const auto repeat = call("entry-2", "key-1");
    if (header(first, OutcomeHeader) == "unknown") {
        EXPECT_EQ(first->status, 502) << first->body;
        EXPECT_EQ(repeat->status, 502) << repeat->body;
        EXPECT_EQ(runs("key-1"), 0);
    } else {
        EXPECT_EQ(header(first, OutcomeHeader), "not-run") << first->body;
        EXPECT_EQ(repeat->status, 200) << repeat->body;
        EXPECT_EQ(runs("key-1"), 1);
    }
}

TEST_F(AtMostOnce, ServerThatRanNothingIsLeftForAnother)
{
    // One server is gone; at the other's address listens another instance, which answers that it ran nothing.
    auto &process = fleet.processes["orders-1"];
    process = test::Process::start("standin-service", {"--instance", "orders-1"});
    service = process.get();
    test::Process &gone = fleet.addService("orders-2", "zone-2");
    fleet.announce("orders-3", "service", "zone-3", service->port());
    gone.signal(SIGKILL);
    gone.wait();
    fleet.waitReady();
    const auto first = call("entry-1", "key-1");
    EXPECT_EQ(first->status, 503) << first->body;
    EXPECT_EQ(header(first, OutcomeHeader), "not-run");
    EXPECT_GT(fleet.metric("entry-1", "retries_total{reason=\"connect_failed\"}"), 0);
    EXPECT_GT(fleet.metric("entry-1", "retries_total{reason=\"server_refused\"}"), 0);
    EXPECT_EQ(runs("key-1"), 0);
    fleet.announce("orders-1", "service", "zone-1", service->port());
    repeatUntilAnswered("key-1");
    EXPECT_EQ(runs("key-1"), 1);
}

TEST_F(AtMostOnce, KeysThatCannotBeUsedAreRefused)
{
    startService();
    EXPECT_EQ(call("entry-1", "")->status, 400);
    EXPECT_EQ(call("entry-1", "two words")->status, 400);
    EXPECT_EQ(call("entry-1", std::string(256, 'k'))->status, 400);
    EXPECT_EQ(call("entry-1", "key-1")->status, 200);
    EXPECT_EQ(fleet.caller.call(fleet.serviceCall("entry-2", Path, "{}", "key-1"))->status, 422);
    EXPECT_EQ(runs("key-1"), 1);
}

TEST_F(AtMostOnce, WritesOfManyCallsAreGrouped)
{
    startService();
    const auto before = tableTotals();
    for (int i = 0; i < 5; i++) {
        fleet.caller.call(fleet.serviceCall("entry-1", "/orders/tags", "{}", "tag"));
    }
    EXPECT_EQ(tableTotals()["writeRequests"], before["writeRequests"]) << "An idempotent call wrote to the table.";
    for (const int count : {1, 50, 500}) {
        measureWrites(count);
    }
}
