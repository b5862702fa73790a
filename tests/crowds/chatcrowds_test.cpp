#include "crowds/crowdshapes.h"
#include "support/crowd.h"
#include "support/fleet.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <sys/resource.h>
#include <unistd.h>

// Clients that keep to the limits on requests, but that nobody controls, at the ports of an entry VM that serves chats.

using namespace cardamomlift;
using test::Crowd;
using test::CrowdShape;
using test::CrowdTarget;
using test::Fleet;

namespace {

constexpr int MemoryMegabytes = 112;
constexpr int BodyKilobytes = 1024;
constexpr int OpenRequests = 300;
/// Open requests, and what the process needs for itself.
constexpr int FileDescriptors = 600;
constexpr char Entry[] = "entry-1";

void lowerLimits(Json::Value &settings)
{
    settings["limits"]["memoryMegabytes"] = MemoryMegabytes;
    settings["limits"]["bodyKilobytes"] = BodyKilobytes;
    settings["limits"]["openRequests"] = OpenRequests;
    settings["callers"]["idleSeconds"] = 600;
    settings["operators"]["idleSeconds"] = 600;
}

struct EntryPort {
    const char *name = "";
    const char *port = "";
    const char *path = "";
    std::string headers;
};

std::ostream &operator<<(std::ostream &out, const EntryPort &port)
{
    return out << port.name;
}

std::string bearer(const char *secret)
{
    return fmt::format("Authorization: Bearer {}\r\n", secret);
}

const EntryPort EntryPorts[] = {{"chats", "callers", "/v1/chat/completions", bearer(test::CoOpKey)},
    {"services", "callers", "/services/orders/orders", bearer(test::CoOpKey) + "Idempotency-Key: crowd\r\n"},
    {"unknown_callers", "callers", "/v1/chat/completions", ""},
    {"operators_without_token", "operators", "/v1/contracts", ""},
    {"operators", "operators", "/v1/contracts", bearer(test::OperatorToken)},
    {"peers", "peers", "/cardamomlift.peers.wire.Peers/Send", ""}};

/// One entry VM with lowered limits before an engine and a service.
class SmallEntry
{
public:
    SmallEntry()
        : fleet(1, &lowerLimits)
    {
        fleet.addEngine("engine-1", "zone-1");
        fleet.addService("orders-1", "zone-1");
        fleet.waitReady();
    }

    int port(const char *name)
    {
        return fleet.processes[Entry]->port(name);
    }

    void expectOrdinaryCallersAnswered(const std::string &when)
    {
        const auto chat = fleet.caller.call(fresh(fleet.chat(Entry, "a proof", 5, false)));
        EXPECT_EQ(chat->status, 200) << when << ": " << chat->body << chat->result.error;
        const auto order = fleet.caller.call(fresh(fleet.serviceCall(Entry, "/orders/orders", "{}", fmt::format("key-{}", ++ordinary_))));
        EXPECT_EQ(order->status, 200) << when << ": " << order->body << order->result.error;
        EXPECT_EQ(fleet.status(Entry)["phase"].asString(), "ready") << when;
    }

    /// Checks the process while the crowd stays and after it has left.
    void expectBearable(Crowd &crowd)
    {
        for (const char *process : {"engine-1", "orders-1", Entry}) {
            test::waitIdle(fleet.processes[process]->pid());
        }
        expectOrdinaryCallersAnswered("beside the crowd");
        expectWithinLimits();
        crowd.close();
        expectOrdinaryCallersAnswered("after the crowd");
        expectWithinLimits();
    }

    void expectWithinLimits()
    {
        test::Process &entry = *fleet.processes[Entry];
        ASSERT_TRUE(entry.isRunning()) << entry.wait();
        EXPECT_LE(test::peakMemoryMegabytes(entry.pid()), MemoryMegabytes);
        EXPECT_LE(test::openDescriptors(entry.pid()), FileDescriptors);
    }

    Fleet fleet;

private:
    static http::ClientRequest fresh(http::ClientRequest request)
    {
        request.freshConnection = true;
        request.timeout = std::chrono::seconds(15);
        return request;
    }

    int ordinary_ = 0;
};

CrowdTarget targetAt(const EntryPort &port)
{
    CrowdTarget target;
    target.path = port.path;
    target.headers = port.headers + "Content-Type: application/json\r\n";
    target.headBytes = 12000;
    target.fieldBytes = 100;
    return target;
}

class ChatCrowdTest : public testing::TestWithParam<std::tuple<EntryPort, CrowdShape>>
{
};

} // namespace

// Guards against clients that begin requests and do not end them, and so keep the memory or the descriptors that others need.
TEST_P(ChatCrowdTest, LeavesRoomForOrdinaryCallers)
{
    const auto &[port, shape] = GetParam();
    SmallEntry entry;
    entry.expectOrdinaryCallersAnswered("before the crowd");
    Crowd crowd("127.0.0.1", entry.port(port.port), shape.connections);
    crowd.send(shape.bytes(targetAt(port)));
    entry.expectBearable(crowd);
}

INSTANTIATE_TEST_SUITE_P(
    ChatCrowds, ChatCrowdTest, testing::Combine(testing::ValuesIn(EntryPorts), testing::ValuesIn(test::unfinishedShapes())), [](const auto &info) {
        return fmt::format("{}_{}", std::get<0>(info.param).name, std::get<1>(info.param).name);
    });

TEST(ChatCrowd, LargeAnswersThatNobodyReadsStayInBounds)
{
    SmallEntry entry;
    constexpr int ReceiveBytes = 4096;
    constexpr int Clients = 100;
    CrowdTarget target = targetAt(EntryPorts[1]);
    target.path = "/services/orders/tags";
    Crowd crowd("127.0.0.1", entry.port("callers"), Clients, ReceiveBytes);
    crowd.sendInTurn(test::wholeRequest(target, std::string(1000000, 'b')));
    entry.expectBearable(crowd);
}

// Guards against JSON that takes many times its length once it is parsed.
TEST(ChatCrowd, LargeTextsOfManySmallElementsStayInBounds)
{
    SmallEntry entry;
    std::string body = R"({"model": "proofreader", "max_tokens": 5, "messages": [{"role": "user", "content": [0)";
    while (body.size() < 1000000) {
        body += ",0";
    }
    body += "]}]}";
    Crowd crowd("127.0.0.1", entry.port("callers"), 40);
    crowd.send(test::wholeRequest(targetAt(EntryPorts[0]), body));
    entry.expectBearable(crowd);
}

// Guards against a limit on open requests that the descriptors of the process do not allow.
TEST(ChatCrowd, ConnectionsBeyondTheDescriptorsOfTheProcessLeaveRoomForOrdinaryCallers)
{
    rlimit usual{};
    ASSERT_EQ(getrlimit(RLIMIT_NOFILE, &usual), 0);
    constexpr rlim_t FewDescriptors = 200;
    // Inherited by the processes that the test starts.
    const rlimit few{FewDescriptors, usual.rlim_max};
    ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &few), 0);
    SmallEntry entry;
    ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &usual), 0);
    Crowd crowd("127.0.0.1", entry.port("callers"), 280);
    crowd.send("P");
    entry.expectBearable(crowd);
}

// Guards against callers at the port between VMs who are read before it is known that they are none.
TEST(ChatCrowd, PeerMessagesShortOfTheirEndStayInBounds)
{
    SmallEntry entry;
    constexpr int Parts = 240;
    constexpr std::size_t PartBytes = 16000;
    Crowd crowd("127.0.0.1", entry.port("peers"), 60);
    crowd.send(test::startOfPeerCall("/cardamomlift.peers.wire.Peers/Send", (Parts + 1) * PartBytes));
    for (int i = 0; i < Parts; i++) {
        crowd.send(test::partOfPeerCall(PartBytes));
        // Within the window of the stream, which is opened as its message is read.
        usleep(20 * 1000);
    }
    entry.expectBearable(crowd);
}

// Guards against limits so low that they meet a caller who does nothing unusual.
TEST(ChatCrowd, TheLargestRequestIsServedInCalm)
{
    SmallEntry entry;
    const auto chat = entry.fleet.caller.call(entry.fleet.chat(Entry, std::string(1000000, 'b'), 5, false));
    EXPECT_EQ(chat->status, 200) << chat->body;
    const auto order = entry.fleet.caller.call(entry.fleet.serviceCall(Entry, "/orders/orders", std::string(BodyKilobytes * 1024, 'b'), "largest"));
    EXPECT_EQ(order->status, 200) << order->body.substr(0, 200);
    entry.expectWithinLimits();
}
