#include "crowds/crowdshapes.h"
#include "support/crowd.h"
#include "support/routefleet.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <optional>
#include <sys/resource.h>

// Clients that keep to the limits on requests, but that nobody controls, at the ports of an entry VM that serves routes.

using namespace cardamomlift;
using test::Crowd;
using test::CrowdShape;
using test::CrowdTarget;
using test::RouteFleet;

namespace {

constexpr int MemoryMegabytes = 64;
constexpr int FileDescriptors = 600;
constexpr int BodyBytes = 1 << 20;
constexpr int EntryNumber = 1;
constexpr int StatusOk = 200;
/// Of clients that do not read, so that the system keeps little of their answers for them.
constexpr int ReceiveBytes = 4096;

struct EntryPort {
    const char *name = "";
    int number = 0;
    const char *method = "";
    const char *path = "";
};

std::ostream &operator<<(std::ostream &out, const EntryPort &port)
{
    return out << port.name;
}

constexpr EntryPort EntryPorts[] = {{"callers", test::entryport::Callers, "POST", "/safe/crowd"},
    {"peers", test::entryport::Peers, "POST", "/safe/crowd"},
    {"readiness", test::entryport::Readiness, "GET", "/api/readyz"},
    {"metrics", test::entryport::Metrics, "GET", "/metrics"}};

/// One entry VM with lowered limits before two workers.
class SmallEntry
{
public:
    SmallEntry()
        : fleet(0, 2)
    {
        Json::Value limits;
        limits["max_header_bytes"] = 16384;
        limits["max_body_bytes"] = BodyBytes;
        limits["header_timeout_ms"] = 600000;
        limits["idle_timeout_ms"] = 600000;
        fleet.setCallerLimits(limits);
        fleet.setEntryLimits({MemoryMegabytes, FileDescriptors});
        fleet.listSlots(1000);
        fleet.addEntry(EntryNumber);
        fleet.waitReady();
    }

    std::string address() const
    {
        return fleet.entryAddress(EntryNumber);
    }

    void expectOrdinaryCallersAnswered(const std::string &when)
    {
        const std::string id = fmt::format("ordinary-{}", ++ordinary_);
        const auto call = fleet.caller.call(fleet.request(EntryNumber, "/safe/ordinary", id));
        EXPECT_EQ(call->status, StatusOk) << when << ": " << call->result.error;
        EXPECT_EQ(statusOf(test::entryport::Readiness, "/api/readyz"), StatusOk) << when;
        EXPECT_EQ(statusOf(test::entryport::Metrics, "/metrics"), StatusOk) << when;
    }

    /// Checks the process while the crowd stays and after it has left.
    void expectBearable(Crowd &crowd)
    {
        for (const std::string &worker : fleet.workerNames()) {
            test::waitIdle(fleet.worker(worker).pid());
        }
        test::waitIdle(fleet.entry(EntryNumber).pid());
        expectOrdinaryCallersAnswered("beside the crowd");
        expectWithinLimits();
        crowd.close();
        expectOrdinaryCallersAnswered("after the crowd");
        expectWithinLimits();
    }

    void controlWorkers(const Json::Value &body)
    {
        for (const std::string &worker : fleet.workerNames()) {
            fleet.controlWorker(worker, body);
        }
    }

    void expectWithinLimits()
    {
        test::Process &entry = fleet.entry(EntryNumber);
        ASSERT_TRUE(entry.isRunning()) << entry.wait();
        EXPECT_LE(test::peakMemoryMegabytes(entry.pid()), MemoryMegabytes);
        EXPECT_LE(test::openDescriptors(entry.pid()), FileDescriptors);
    }

    RouteFleet fleet;

private:
    int statusOf(int port, const char *path)
    {
        http::ClientRequest request;
        request.url = fmt::format("http://{}:{}{}", address(), port, path);
        request.freshConnection = true;
        return fleet.caller.call(request)->status;
    }

    int ordinary_ = 0;
};

CrowdTarget targetAt(const EntryPort &port)
{
    CrowdTarget target;
    target.method = port.method;
    target.path = port.path;
    target.headers = "X-Attempt-Id: crowd\r\nX-Credential: key-1\r\nX-Deadline-Ms: 15000\r\n";
    target.bodyBytes = BodyBytes;
    return target;
}

CrowdTarget callersTarget(const std::string &path)
{
    CrowdTarget target = targetAt(EntryPorts[0]);
    target.path = path;
    return target;
}

class RouteCrowdTest : public testing::TestWithParam<std::tuple<EntryPort, CrowdShape>>
{
};

} // namespace

// Guards against clients that begin requests and do not end them, and so keep the memory or the descriptors that others need.
TEST_P(RouteCrowdTest, LeavesRoomForOrdinaryCallers)
{
    const auto &[port, shape] = GetParam();
    SmallEntry entry;
    entry.expectOrdinaryCallersAnswered("before the crowd");
    Crowd crowd(entry.address(), port.number, shape.connections);
    crowd.send(shape.bytes(targetAt(port)));
    entry.expectBearable(crowd);
}

INSTANTIATE_TEST_SUITE_P(
    RouteCrowds, RouteCrowdTest, testing::Combine(testing::ValuesIn(EntryPorts), testing::ValuesIn(test::unfinishedShapes())), [](const auto &info) {
        return fmt::format("{}_{}", std::get<0>(info.param).name, std::get<1>(info.param).name);
    });

// As above, one client after the other, so that the room for bodies is used up to its last bytes.
TEST(RouteCrowd, BodiesThatComeInTurnLeaveRoomForOrdinaryCallers)
{
    SmallEntry entry;
    Crowd crowd(entry.address(), test::entryport::Callers, 60);
    crowd.sendInTurn(test::unfinishedShapes()[4].bytes(callersTarget("/safe/crowd")));
    entry.expectBearable(crowd);
}

TEST(RouteCrowd, BytesReadAheadOfAnOpenRequestStayInBounds)
{
    SmallEntry entry;
    Json::Value slowStreams;
    slowStreams["eventGapMs"] = 600000;
    entry.controlWorkers(slowStreams);
    const CrowdTarget target = callersTarget("/stream/crowd");
    Crowd crowd(entry.address(), test::entryport::Callers, 450);
    crowd.send(test::wholeRequest(target, "body"));
    crowd.send(test::unfinishedShapes()[4].bytes(target));
    entry.expectBearable(crowd);
}

// The window of the clients is so small that nearly all of an answer stays with the daemon.
TEST(RouteCrowd, LargeAnswersThatNobodyReadsStayInBounds)
{
    SmallEntry entry;
    Json::Value largeAnswers;
    largeAnswers["answerBytes"] = BodyBytes;
    entry.controlWorkers(largeAnswers);
    Crowd crowd(entry.address(), test::entryport::Callers, 120, ReceiveBytes);
    crowd.sendInTurn(test::wholeRequest(callersTarget("/safe/crowd"), "body"));
    entry.expectBearable(crowd);
}

TEST(RouteCrowd, AnswersToPipelinedRequestsThatNobodyReadsStayInBounds)
{
    SmallEntry entry;
    constexpr int RequestsEach = 60;
    Json::Value largeAnswers;
    largeAnswers["answerBytes"] = 100000;
    entry.controlWorkers(largeAnswers);
    std::string requests;
    for (int i = 0; i < RequestsEach; i++) {
        requests += test::wholeRequest(callersTarget("/safe/crowd"), "body");
    }
    Crowd crowd(entry.address(), test::entryport::Callers, 20, ReceiveBytes);
    crowd.send(requests);
    entry.expectBearable(crowd);
}

TEST(RouteCrowd, StreamsThatNobodyReadsStayInBounds)
{
    SmallEntry entry;
    Json::Value longStreams;
    longStreams["events"] = 104;
    longStreams["eventBytes"] = 32768;
    entry.controlWorkers(longStreams);
    Crowd crowd(entry.address(), test::entryport::Callers, 120, ReceiveBytes);
    crowd.send(test::wholeRequest(callersTarget("/stream/crowd"), "body"));
    entry.expectBearable(crowd);
}

// The parts of a prompt take many times their length in the header.
TEST(RouteCrowd, OpenRequestsWithPromptsOfManyPartsStayInBounds)
{
    SmallEntry entry;
    Json::Value slowStreams;
    slowStreams["eventGapMs"] = 600000;
    entry.controlWorkers(slowStreams);
    CrowdTarget target = callersTarget("/stream/crowd");
    std::string parts = "1:1";
    while (parts.size() < 15000) {
        parts += ",1:1";
    }
    target.headers += "X-Prompt-Prefix: " + parts + "\r\n";
    Crowd crowd(entry.address(), test::entryport::Callers, 280);
    crowd.send(test::wholeRequest(target, "body"));
    entry.expectBearable(crowd);
}

// Guards against a listener that is asked again and again to accept what there is no descriptor for.
TEST(RouteCrowd, ConnectionsBeyondTheDescriptorsOfTheProcessLeaveRoomForOrdinaryCallers)
{
    SmallEntry entry;
    constexpr rlim_t FewDescriptors = 200;
    const rlimit limit{FewDescriptors, FewDescriptors};
    ASSERT_EQ(prlimit(entry.fleet.entry(EntryNumber).pid(), RLIMIT_NOFILE, &limit, nullptr), 0);
    Crowd crowd(entry.address(), test::entryport::Callers, 300);
    crowd.send("P");
    entry.expectBearable(crowd);
}

TEST(RouteCrowd, ClientsThatComeAndGoLeaveRoomForOrdinaryCallers)
{
    SmallEntry entry;
    const CrowdTarget target = callersTarget("/safe/crowd");
    std::optional<Crowd> crowd;
    for (int i = 0; i < 10; i++) {
        crowd.emplace(entry.address(), test::entryport::Callers, 200);
        crowd->send(test::unfinishedShapes()[3].bytes(target));
        entry.expectOrdinaryCallersAnswered("beside a crowd that comes and goes");
    }
    entry.expectBearable(*crowd);
}

// Guards against limits so low that they meet a caller who does nothing unusual.
TEST(RouteCrowd, TheLargestRequestIsServedInCalm)
{
    SmallEntry entry;
    http::ClientRequest request = entry.fleet.request(EntryNumber, "/safe/largest", "largest");
    for (int i = 0; i < 1300; i++) {
        request.headers[fmt::format("f{}", i)] = "b";
    }
    request.body = std::string(BodyBytes, 'b');
    const auto call = entry.fleet.caller.call(request);
    EXPECT_EQ(call->status, StatusOk) << call->result.error;
    EXPECT_EQ(call->body, "largest " + request.body);
    entry.expectWithinLimits();
}
