// Calls between entry VMs are delayed and cut one way while requests are accepted and handed over.

#include "support/fleet.h"
#include "support/streaming.h"

#include <gtest/gtest.h>

#include <csignal>

using namespace cardamomlift;
using test::Fleet;
using test::StreamedAnswer;

namespace {

constexpr int Streams = 20;
constexpr int Tokens = 100;
constexpr int SecondsLeft = 20;

Json::Value fault(const char *name, const Json::Value &value)
{
    Json::Value json;
    json[name] = value;
    return json;
}

/// The VM that entry-1 gives its copies to, as its request ids say.
std::string holderOfEntryOne(Fleet &fleet)
{
    const auto call = fleet.caller.call(fleet.chat("entry-1", "which holder", 1));
    const std::string id(http::headerValue(call->headers, "X-Request-Id"));
    return id.substr(id.rfind('~') + 1);
}

std::string otherThan(const std::string &holder)
{
    return holder == "entry-2" ? "entry-3" : "entry-2";
}

/// Peers reach @p instance through a proxy from now on.
test::Process &putProxyBefore(Fleet &fleet, const std::string &instance)
{
    int port = 0;
    test::Process &target = *fleet.processes[instance];
    test::Process &proxy = fleet.addProxy(target.port("peers"), port);
    fleet.announce(instance, "entry", "zone-" + instance.substr(instance.rfind('-') + 1), target.port("callers"), port);
    // Each of the others has a channel of its own.
    const int others = static_cast<int>(fleet.entryNames.size()) - 1;
    for (int i = 0; i < 1000; i++) {
        if (fleet.caller.get(proxy.port("control"), "/totals/0")->json()["open"].asInt() >= others) {
            return proxy;
        }
        usleep(10 * 1000);
    }
    ADD_FAILURE() << "the peers never use the proxy";
    return proxy;
}

/// The notice, then the kill when the log shows @p moment.
void reclaimAndKill(Fleet &fleet, const std::string &instance, const std::string &moment)
{
    fleet.reclaim(instance, SecondsLeft);
    fleet.caller.waitUntil([&] { return fleet.processes[instance]->log().find(moment) != std::string::npos; }, instance + " says: " + moment);
    fleet.processes[instance]->signal(SIGKILL);
    fleet.processes[instance]->wait();
}

/// What all callers at entry-1 were promised, when its first holder is reached badly, and then entry-1 goes.
void acceptAndReclaim(const Json::Value &atAcceptance, const Json::Value &atHandover, const std::string &moment = "Handing over.")
{
    Fleet fleet(3);
    fleet.addEngine("engine-1", "zone-4", {"--token-ms", "20"});
    fleet.waitReady();
    const std::string holder = holderOfEntryOne(fleet);
    test::Process &proxy = putProxyBefore(fleet, holder);
    fleet.controlProxy(proxy, atAcceptance);
    auto answers = test::startStreams(fleet, "entry-1", Streams, Tokens);
    test::waitTokens(fleet, answers, 5);
    EXPECT_EQ(fleet.metric("entry-1", "copies_missing_total"), 0) << "the next holder takes what the first does not answer";
    fleet.controlProxy(proxy, atHandover);
    reclaimAndKill(fleet, "entry-1", moment);
    test::resumeAll(fleet, answers, {"entry-2", "entry-3"});
    EXPECT_EQ(test::faultsOf(answers), "");
    std::printf("measured: taken by the badly reached holder %.0f, by the other %.0f\n",
        fleet.metric(holder, "requests_taken_total"),
        fleet.metric(otherThan(holder), "requests_taken_total"));
}

} // namespace

TEST(PeerFaults, SlowCallsToTheHolder)
{
    acceptAndReclaim(fault("delayMs", 200), fault("delayMs", 200));
}

TEST(PeerFaults, TheHolderHearsNothing)
{
    acceptAndReclaim(fault("cutToServer", true), fault("cutToServer", true));
}

TEST(PeerFaults, TheHoldersAnswersAreLost)
{
    acceptAndReclaim(fault("cutToClient", true), fault("cutToClient", true));
}

TEST(PeerFaults, TheHolderIsCutOffAtTheHandoverAndTheNextOneTakesAll)
{
    acceptAndReclaim(fault("delayMs", 0), fault("cutToServer", true), "Handed over.");
}

TEST(PeerFaults, TheOnlyCopyAtAVmThatPeersCanNotAskIsNotDenied)
{
    Fleet fleet(3);
    fleet.addEngine("engine-1", "zone-4", {"--token-ms", "20"});
    fleet.waitReady();
    const std::string holder = holderOfEntryOne(fleet);
    test::Process &proxy = putProxyBefore(fleet, holder);
    auto answers = test::startStreams(fleet, "entry-1", Streams, Tokens);
    test::waitTokens(fleet, answers, 5);
    fleet.controlProxy(proxy, fault("cutToServer", true));
    // Killed before the next holder is tried: only the cut-off VM has the requests.
    fleet.reclaim("entry-1", SecondsLeft);
    fleet.processes["entry-1"]->signal(SIGKILL);
    fleet.processes["entry-1"]->wait();
    const auto early = fleet.caller.call(test::resumeRequest(fleet, otherThan(holder), answers[0]));
    EXPECT_EQ(early->status, 503) << "not 404: a VM that may have it did not answer. " << early->body;
    // At the holder itself the answers go on; elsewhere as soon as the cut ends.
    std::vector<StreamedAnswer> atHolder(answers.begin(), answers.begin() + Streams / 2);
    std::vector<StreamedAnswer> elsewhere(answers.begin() + Streams / 2, answers.end());
    test::resumeAll(fleet, atHolder, {holder});
    EXPECT_EQ(test::faultsOf(atHolder), "");
    fleet.controlProxy(proxy, fault("cutToServer", false));
    fleet.controlProxy(proxy, fault("closeAll", true));
    test::resumeAll(fleet, elsewhere, {otherThan(holder)});
    EXPECT_EQ(test::faultsOf(elsewhere), "");
}

TEST(PeerFaults, AHomeThatCanNotBeAskedLeavesItsRequestsToTheHolder)
{
    Fleet fleet(3);
    fleet.addEngine("engine-1", "zone-4", {"--token-ms", "20"});
    fleet.waitReady();
    test::Process &proxy = putProxyBefore(fleet, "entry-1");
    auto answers = test::startStreams(fleet, "entry-1", Streams, Tokens);
    test::waitTokens(fleet, answers, 5);
    // The home lives and still reads the engine's streams, but hears of no taker.
    fleet.controlProxy(proxy, fault("cutToServer", true));
    for (const StreamedAnswer &answer : answers) {
        fleet.caller.hangUp(answer.call);
    }
    test::resumeAll(fleet, answers, {"entry-2", "entry-3"});
    EXPECT_EQ(test::faultsOf(answers), "");
    EXPECT_EQ(fleet.metric("entry-1", "requests_given_total"), 0);
    EXPECT_EQ(fleet.metric("entry-2", "requests_taken_total") + fleet.metric("entry-3", "requests_taken_total"), Streams);
}

TEST(PeerFaults, WithoutAnyHolderInReachAcceptanceGoesOnAndIsCounted)
{
    Fleet fleet(2);
    fleet.addEngine("engine-1", "zone-4", {"--token-ms", "20"});
    fleet.waitReady();
    test::Process &proxy = putProxyBefore(fleet, "entry-2");
    fleet.controlProxy(proxy, fault("cutToServer", true));
    auto answers = test::startStreams(fleet, "entry-1", Streams, Tokens);
    test::waitTokens(fleet, answers, 5);
    EXPECT_EQ(fleet.metric("entry-1", "copies_missing_total"), Streams);
    // The notice comes when the holder is in reach again: nothing is lost, although no copy stood before.
    fleet.controlProxy(proxy, fault("cutToServer", false));
    fleet.controlProxy(proxy, fault("closeAll", true));
    reclaimAndKill(fleet, "entry-1", "Handed over.");
    test::resumeAll(fleet, answers, {"entry-2"});
    EXPECT_EQ(test::faultsOf(answers), "");
}
