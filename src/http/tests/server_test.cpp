#include "http/server.h"

#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <string_view>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace cardamomlift;
using namespace cardamomlift::http;

namespace {

constexpr std::string_view Request = "GET / HTTP/1.1\r\nHost: test\r\n\r\n";

int connectTo(std::uint16_t port)
{
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
    EXPECT_EQ(connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address), 0);
    return fd;
}

void sendRequest(int fd)
{
    EXPECT_EQ(write(fd, Request.data(), Request.size()), static_cast<ssize_t>(Request.size()));
}

bool isReadable(int fd)
{
    pollfd entry{fd, POLLIN, 0};
    return poll(&entry, 1, 0) == 1;
}

} // namespace

TEST(Server, RequestThatArrivesAsItEndsIsNotTaken)
{
    SystemClock clock;
    auto loop = std::move(EventLoop::create(clock).value());
    int received = 0;
    auto server = std::move(Server::create(*loop, ServerOptions(), [&](const http::Request &, const std::shared_ptr<Responder> &responder) {
        received++;
        if (received == 1) {
            responder->respond({});
        }
    }).value());
    const int fd = connectTo(server->port());
    sendRequest(fd);
    while (!isReadable(fd)) {
        loop->runDue();
        std::this_thread::yield();
    }
    sendRequest(fd);
    server.reset();
    EXPECT_EQ(received, 1);
    close(fd);
}
