#include "support/contracts.h"
#include "support/fleet.h"

#include "http/json.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <csignal>
#include <filesystem>
#include <fstream>

using namespace cardamomlift;
using test::Fleet;

namespace {

constexpr int StatusOk = 200;
constexpr int StatusNotReady = 503;

/// The example contract with another limit; the daemon's own file of this test.
std::string editedText(int requestsPerSecond)
{
    return test::withReplaced(test::exampleContract(), "\"requestsPerSecond\": 200", fmt::format("\"requestsPerSecond\": {}", requestsPerSecond));
}

std::string writeEdit(int requestsPerSecond)
{
    return test::writeScratchFile(fmt::format("edit-{}.json", requestsPerSecond), editedText(requestsPerSecond));
}

std::uint64_t versionAt(Fleet &fleet, const std::string &instance)
{
    return test::versionInForce(fleet.status(instance));
}

void waitVersion(Fleet &fleet, const std::string &instance, std::uint64_t version)
{
    fleet.waitStatus(
        instance, [&](const Json::Value &status) { return test::versionInForce(status) >= version; }, fmt::format("version {}", version));
}

void waitFreshness(Fleet &fleet, const std::string &instance, const std::string &freshness)
{
    fleet.waitStatus(
        instance, [&](const Json::Value &status) { return status["freshness"].asString() == freshness; }, freshness);
}

int health(Fleet &fleet, const std::string &instance)
{
    return fleet.caller.get(fleet.processes[instance]->port("callers"), "/health")->status;
}

/// Two entry VMs, and a third whose ways to the table, to its peers and from them lead through proxies.
class CuttableFleet
{
public:
    CuttableFleet()
        : fleet(2)
        , list_(test::Process::start("standin-platform", {}))
    {
        int tablePort = 0;
        table_ = &fleet.addProxy(fleet.platform->port(), tablePort);
        test::Process &entry = fleet.addEntry("entry-3", "zone-3", [&](Json::Value &settings) {
            settings["platform"]["tableEndpoint"] = fmt::format("http://127.0.0.1:{}", tablePort);
            settings["platform"]["vmListEndpoint"] = fmt::format("http://127.0.0.1:{}", list_->port());
        });
        announceAtThird("entry-3", "entry", "zone-3", entry.port("callers"), entry.port("peers"));
        for (const char *instance : {"entry-1", "entry-2"}) {
            test::Process &other = *fleet.processes[instance];
            announceAtThird(instance, "entry", "zone-1", other.port("callers"), addPeerProxy(other));
        }
        fleet.announce("entry-3", "entry", "zone-3", entry.port("callers"), addPeerProxy(entry));
        const test::Process &engine = fleet.addEngine("engine-1", "zone-1", {"--token-ms", "50"});
        announceAtThird("engine-1", "model", "zone-1", engine.port(), 0);
        fleet.waitReady();
    }

    void cutTable(bool isCut)
    {
        fleet.setCut(*table_, isCut);
    }

    void cutPeers(bool isCut)
    {
        for (test::Process *proxy : peers_) {
            fleet.setCut(*proxy, isCut);
        }
    }

    Fleet fleet;

private:
    int addPeerProxy(const test::Process &entry)
    {
        int port = 0;
        peers_.push_back(&fleet.addProxy(entry.port("peers"), port));
        return port;
    }

    /// Puts a VM into the list that only the third entry VM reads.
    void announceAtThird(const std::string &instance, const std::string &role, const std::string &zone, int port, int peerPort)
    {
        std::swap(fleet.platform, list_);
        fleet.announce(instance, role, zone, port, peerPort);
        std::swap(fleet.platform, list_);
    }

    std::unique_ptr<test::Process> list_;
    test::Process *table_ = nullptr;
    std::vector<test::Process *> peers_;
};

void setTableDown(Fleet &fleet, bool down)
{
    Json::Value faults;
    faults["down"] = down;
    fleet.controlPlatform("/control/table", faults);
}

Json::Value editBody(int requestsPerSecond, std::uint64_t base, const std::string &author, const std::string &editId)
{
    Json::Value body;
    body["customer"] = test::ExampleCustomer;
    body["text"] = editedText(requestsPerSecond);
    body["author"] = author;
    body["editId"] = editId;
    body["baseVersion"] = static_cast<Json::UInt64>(base);
    return body;
}

test::TestCallPtr startEdit(Fleet &fleet, const std::string &instance, const Json::Value &body)
{
    http::ClientRequest request;
    request.method = "POST";
    request.url = fmt::format("http://127.0.0.1:{}/v1/contracts", fleet.processes[instance]->port("operators"));
    request.headers["Authorization"] = std::string("Bearer ") + test::OperatorToken;
    request.body = http::writeJson(body);
    return fleet.caller.start(std::move(request));
}

} // namespace

TEST(ContractsInForce, AnAcceptedEditIsToldWhereItIs)
{
    Fleet fleet(3);
    fleet.waitReady();
    std::string output;
    EXPECT_EQ(fleet.tool({"apply", writeEdit(150)}, output), 0) << output;
    EXPECT_NE(output.find("In force at 3 of 3 entry VMs."), std::string::npos) << output;
    for (const std::string &entry : fleet.entryNames) {
        EXPECT_EQ(versionAt(fleet, entry), 2U) << entry;
    }
    EXPECT_EQ(fleet.tool({"where", test::ExampleCustomer}, output), 0) << output;
}

TEST(ContractsInForce, UndoIsAnEditAndHistoryTellsBoth)
{
    Fleet fleet(2);
    fleet.waitReady();
    std::string output;
    EXPECT_EQ(fleet.tool({"apply", writeEdit(150)}, output), 0) << output;
    EXPECT_EQ(fleet.tool({"revert", test::ExampleCustomer}, output), 0) << output;
    EXPECT_EQ(fleet.tool({"history", test::ExampleCustomer}, output), 0) << output;
    EXPECT_NE(output.find("version 2 by tester"), std::string::npos) << output;
    EXPECT_NE(output.find("limits.requestsPerSecond: 200 -> 150"), std::string::npos) << output;
    EXPECT_NE(output.find("limits.requestsPerSecond: 150 -> 200"), std::string::npos) << output;
    EXPECT_EQ(fleet.tool({"show", test::ExampleCustomer}, output), 0);
    EXPECT_NE(output.find(test::exampleContract()), std::string::npos) << "comments and all, as it was written";
}

TEST(ContractsInForce, ADangerousEditIsShownWithItsPlaceAndNeedsConfirmation)
{
    Fleet fleet(1);
    fleet.waitReady();
    std::string output;
    const std::string file = writeEdit(0);
    EXPECT_EQ(fleet.tool({"apply", file}, output), 1) << output;
    EXPECT_NE(output.find(file + ":24:"), std::string::npos) << output;
    EXPECT_NE(output.find("is cut from 200 to 0"), std::string::npos) << output;
    EXPECT_EQ(versionAt(fleet, "entry-1"), 1U);
    EXPECT_EQ(fleet.tool({"apply", file, "--confirm"}, output), 0) << output;
}

TEST(ContractsInForce, ADirectoryIsAppliedWholeAndOnlyWhatDiffers)
{
    Fleet fleet(1);
    fleet.waitReady();
    const std::string folder = test::scratchFolder() + "/contracts";
    std::filesystem::create_directories(folder + "/department");
    std::ofstream(folder + "/co-op.json") << editedText(150);
    std::filesystem::copy_file(std::string(CARDAMOMLIFT_SOURCES) + "/examples/department/contract.json", folder + "/department/contract.json");
    std::string output;
    EXPECT_EQ(fleet.tool({"diff", folder}, output), 0) << output;
    EXPECT_NE(output.find("limits.requestsPerSecond: 200 -> 150"), std::string::npos) << output;
    EXPECT_EQ(fleet.tool({"apply", folder}, output), 0) << output;
    EXPECT_NE(output.find("crew-movement: nothing to change."), std::string::npos) << output;
    EXPECT_NE(output.find("Accepted: print-co-op version 2"), std::string::npos) << output;
    std::filesystem::copy_file(folder + "/co-op.json", folder + "/copy.json");
    EXPECT_EQ(fleet.tool({"check", folder}, output), 1) << output;
    EXPECT_NE(output.find("Customer print-co-op has another contract"), std::string::npos) << output;
}

TEST(ContractsInForce, RacingOperatorsWithLostAnswersLoseNoEdit)
{
    Fleet fleet(3);
    fleet.waitReady();
    Json::Value loseOne;
    loseOne["loseNext"] = 1;
    for (std::uint64_t base = 1; base <= 3; base++) {
        fleet.controlPlatform("/control/table", loseOne);
        const int limit = 150 + static_cast<int>(base);
        const auto first = startEdit(fleet, "entry-1", editBody(limit, base, "ann", fmt::format("ann-{}", base)));
        const auto second = startEdit(fleet, "entry-2", editBody(limit + 50, base, "ben", fmt::format("ben-{}", base)));
        fleet.caller.waitUntil([&] { return first->ended && second->ended; }, "both answers");
        EXPECT_EQ(std::min(first->status, second->status), StatusOk) << first->body << second->body;
        EXPECT_EQ(std::max(first->status, second->status), 409) << first->body << second->body;
        const auto &winner = first->status == StatusOk ? first : second;
        const auto &loser = first->status == StatusOk ? second : first;
        EXPECT_EQ(loser->json()["version"]["editId"], winner->json()["version"]["editId"]);
    }
    std::string output;
    EXPECT_EQ(fleet.tool({"history", test::ExampleCustomer}, output), 0);
    EXPECT_NE(output.find("version 4 by"), std::string::npos) << output;
    EXPECT_EQ(output.find("version 5 by"), std::string::npos) << output;
}

TEST(ContractsInForce, TheLoserSeesBothSidesOfAConflict)
{
    Fleet fleet(1);
    fleet.waitReady();
    std::string output;
    EXPECT_EQ(fleet.tool({"apply", writeEdit(150)}, output), 0) << output;
    EXPECT_EQ(fleet.tool({"apply", writeEdit(170), "--base", "1"}, output), 3) << output;
    EXPECT_NE(output.find("limits.requestsPerSecond: theirs 200 -> 150, yours 200 -> 170"), std::string::npos) << output;
    const auto bens = startEdit(fleet, "entry-1", editBody(160, 2, "ben", "ben-1"));
    fleet.caller.waitUntil([&] { return bens->ended; }, "ben's edit");
    EXPECT_EQ(fleet.tool({"apply", writeEdit(170)}, output), 3) << "without --base nobody undoes ben's edit unseen: " << output;
    EXPECT_EQ(versionAt(fleet, "entry-1"), 3U);
    EXPECT_EQ(fleet.tool({"apply", writeEdit(170), "--base", "3"}, output), 0) << output;
}

TEST(ContractsInForce, AVmCutOffFromTheTableGetsItFromPeers)
{
    CuttableFleet cuttable;
    Fleet &fleet = cuttable.fleet;
    cuttable.cutTable(true);
    std::string output;
    EXPECT_EQ(fleet.tool({"apply", writeEdit(150)}, output), 0) << output;
    EXPECT_EQ(versionAt(fleet, "entry-3"), 2U);
    EXPECT_EQ(health(fleet, "entry-3"), StatusOk);
}

TEST(ContractsInForce, AVmCutOffFromPeersGetsItFromTheTableAndAcceptsNone)
{
    CuttableFleet cuttable;
    Fleet &fleet = cuttable.fleet;
    cuttable.cutPeers(true);
    std::string output;
    fleet.tool({"apply", writeEdit(150)}, output);
    EXPECT_NE(output.find("Accepted: print-co-op version 2"), std::string::npos) << output;
    waitVersion(fleet, "entry-3", 2);
    EXPECT_EQ(health(fleet, "entry-3"), StatusOk);
    // Heartbeats from before the cut count for some seconds; an edit in that time is rightly accepted.
    fleet.waitStatus(
        "entry-3", [](const Json::Value &status) { return status["otherEntryVmsHeard"].asInt() == 0; }, "no other entry VM heard");
    const auto edit = startEdit(fleet, "entry-3", editBody(160, 2, "ann", "ann-1"));
    fleet.caller.waitUntil([&] { return edit->ended; }, "the refusal of the edit");
    EXPECT_EQ(edit->json()["error"]["code"].asString(), "no_majority") << edit->body;
}

TEST(ContractsInForce, AVmCutOffFromBothStopsAndComesBackWithTheEdit)
{
    CuttableFleet cuttable;
    Fleet &fleet = cuttable.fleet;
    const auto open = fleet.caller.start(fleet.chat("entry-3", "long", 150));
    fleet.caller.waitUntil([&] { return !open->body.empty(); }, "the first token");
    cuttable.cutTable(true);
    cuttable.cutPeers(true);
    std::string output;
    EXPECT_EQ(fleet.tool({"apply", writeEdit(150)}, output), 5) << output;
    EXPECT_NE(output.find("In force at 2 of 3 entry VMs."), std::string::npos) << output;
    EXPECT_NE(output.find("not yet: entry-3 in zone-3"), std::string::npos) << output;
    waitFreshness(fleet, "entry-3", "cut_off");
    EXPECT_EQ(health(fleet, "entry-3"), StatusNotReady);
    EXPECT_EQ(versionAt(fleet, "entry-3"), 1U);
    const auto refused = fleet.caller.call(fleet.chat("entry-3", "new", 5));
    EXPECT_EQ(refused->status, StatusNotReady);
    EXPECT_FALSE(http::headerValue(refused->headers, "Retry-After").empty());
    fleet.caller.waitUntil([&] { return open->ended; }, "the end of the open stream");
    EXPECT_TRUE(open->isWhole());
    cuttable.cutPeers(false);
    std::uint64_t versionWhenReady = 0;
    const auto isReady = [&](const Json::Value &status) {
        versionWhenReady = test::versionInForce(status);
        return status["phase"].asString() == "ready";
    };
    fleet.waitStatus("entry-3", isReady, "ready again, through its peers");
    EXPECT_EQ(versionWhenReady, 2U);
}

TEST(ContractsInForce, AnOutageOfTheTableStopsNobodyAndEditsAreRefused)
{
    Fleet fleet(3);
    fleet.waitReady();
    setTableDown(fleet, true);
    for (const std::string &entry : fleet.entryNames) {
        waitFreshness(fleet, entry, "confirmed_by_majority");
        EXPECT_EQ(health(fleet, entry), StatusOk);
    }
    std::string output;
    EXPECT_EQ(fleet.tool({"apply", writeEdit(150)}, output), 4) << output;
    setTableDown(fleet, false);
    EXPECT_EQ(fleet.tool({"apply", writeEdit(150)}, output), 0) << output;
}

TEST(ContractsInForce, AFirstBootInAnOutageServesTheNewestFromPeers)
{
    Fleet fleet(3);
    fleet.waitReady();
    std::string output;
    EXPECT_EQ(fleet.tool({"apply", writeEdit(150)}, output), 0) << output;
    setTableDown(fleet, true);
    fleet.processes["entry-1"]->signal(SIGKILL);
    fleet.processes["entry-1"]->wait();
    fleet.forget("entry-1");
    std::erase(fleet.entryNames, "entry-1");
    fleet.addEntry("entry-4", "zone-1");
    fleet.waitStatus(
        "entry-4", [](const Json::Value &status) { return status["phase"].asString() == "ready"; }, "ready without the table");
    EXPECT_EQ(versionAt(fleet, "entry-4"), 2U);
}

TEST(ContractsInForce, MostVmsLearnOfAnEditFromAPeer)
{
    constexpr int Vms = 9;
    constexpr int Edits = 20;
    Fleet fleet(Vms);
    fleet.waitReady();
    std::string output;
    for (int i = 0; i < Edits; i++) {
        ASSERT_EQ(fleet.tool({"apply", writeEdit(101 + i)}, output), 0) << output;
    }
    double direct = 0;
    double fromPeers = 0;
    for (const std::string &entry : fleet.entryNames) {
        std::string line = entry + ": versions by hops:";
        for (int hops = 0; hops < Vms; hops++) {
            const double count = fleet.metric(entry, fmt::format("contract_versions_in_force_total{{hops=\"{}\"}}", hops));
            (hops == 0 ? direct : fromPeers) += count;
            line += fmt::format(" {}", count);
        }
        const auto delay = [&](const char *quantile) {
            return 1000 * fleet.metric(entry, fmt::format("contract_edit_delay_seconds{{quantile=\"{}\"}}", quantile));
        };
        std::cout << fmt::format("{}; delay p50 {:.0f} ms p95 {:.0f} ms p99 {:.0f} ms; exchange bytes sent {}\n",
            line,
            delay("0.5"),
            delay("0.95"),
            delay("0.99"),
            fleet.metric(entry, "contract_exchange_bytes_sent"));
    }
    std::cout << "Table: " << fleet.caller.get(fleet.platform->port(), "/totals")->body << "\n";
    EXPECT_GE(direct + fromPeers, Vms * Edits);
    EXPECT_GT(fromPeers, direct) << "most VMs learn of an edit from a peer";
}
