#include "forwarding/serverpool.h"
#include "http1/tests/looptest.h"
#include "relay/relaypool.h"

#include <gtest/gtest.h>

#include <fcntl.h>
#include <netinet/tcp.h>

#include <filesystem>
#include <set>

namespace cardamomlift::forwarding {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A sound peer may send and acknowledge nothing for this long.
constexpr Duration SilenceOfASoundPeer = milliseconds(1500);

std::set<int> openDescriptors()
{
    std::set<int> descriptors;
    for (const auto &entry : std::filesystem::directory_iterator("/proc/self/fd")) {
        descriptors.insert(std::stoi(entry.path().filename()));
    }
    // The listing has used one that is closed by now.
    std::erase_if(descriptors, [](int descriptor) { return fcntl(descriptor, F_GETFD) < 0; });
    return descriptors;
}

int tcpOption(int descriptor, int name)
{
    int value = 0;
    socklen_t size = sizeof value;
    return getsockopt(descriptor, IPPROTO_TCP, name, &value, &size) == 0 ? value : 0;
}

/// The silence of the peer after which the system ends a connection: TCP_USER_TIMEOUT also ends keep-alive probing, and counts from the
/// last byte received, which may be as old as the time before the first probe.
Duration toleratedSilence(const std::set<int> &before)
{
    for (const int descriptor : openDescriptors()) {
        if (!before.contains(descriptor) && tcpOption(descriptor, TCP_USER_TIMEOUT) > 0) {
            return milliseconds(tcpOption(descriptor, TCP_USER_TIMEOUT)) - seconds(tcpOption(descriptor, TCP_KEEPIDLE));
        }
    }
    ADD_FAILURE() << "no connection with a time-out";
    return Duration(0);
}

class ServerPoolTest : public http1::LoopTest
{
};

// Guards against connections to a sound server that are ended because it is silent for a second or so.
TEST_F(ServerPoolTest, ASilenceOfASecondEndsNoConnectionToAServer)
{
    const auto pool = ServerPool::create(*loop_, directory::Directory::create());
    directory::BackendServer server;
    server.instance = "one";
    server.endpoint = {"127.0.0.1", 9};
    const auto before = openDescriptors();
    const auto channel = pool->acquire(server);
    EXPECT_GE(toleratedSilence(before), SilenceOfASoundPeer);
}

TEST_F(ServerPoolTest, ASilenceOfASecondEndsNoConnectionToAnotherVm)
{
    const auto pool = relay::RelayPool::create(*loop_, "zone", [](std::uint64_t) { return std::vector<relay::RelayCandidate>(); });
    const auto before = openDescriptors();
    const auto channel = pool->acquire({"vm", "zone", {"127.0.0.1", 9}});
    EXPECT_GE(toleratedSilence(before), SilenceOfASoundPeer);
}

} // namespace

} // namespace cardamomlift::forwarding
