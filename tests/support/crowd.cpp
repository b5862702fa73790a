#include "support/crowd.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <filesystem>
#include <fstream>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace cardamomlift::test {

namespace {

constexpr int ConnectTimeoutMs = 2000;
constexpr int PollPeriodMs = 20;
/// Without any progress for this many polls in a row, the peer takes no more.
constexpr int MaxIdlePolls = 25;
constexpr std::size_t KilobytesPerMegabyte = 1024;

int connectTo(const std::string &address, int port, int receiveBytes)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (receiveBytes > 0) {
        setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &receiveBytes, sizeof receiveBytes);
    }
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, address.c_str(), &target.sin_addr);
    if (::connect(descriptor, reinterpret_cast<const sockaddr *>(&target), sizeof target) == 0) {
        return descriptor;
    }
    pollfd connecting{descriptor, POLLOUT, 0};
    const bool isReady = errno == EINPROGRESS && ::poll(&connecting, 1, ConnectTimeoutMs) == 1;
    if (isReady && (connecting.revents & (POLLERR | POLLHUP)) == 0) {
        return descriptor;
    }
    ::close(descriptor);
    return -1;
}

bool isClosedByPeer(int descriptor)
{
    char byte = 0;
    const ssize_t count = ::recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (count > 0) {
        // An answer is waiting, which may be followed by the close.
        pollfd state{descriptor, POLLRDHUP, 0};
        return ::poll(&state, 1, 0) == 1 && (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
    }
    return count == 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

/// Processor time of a process so far, in clock ticks.
long processorTicks(pid_t process)
{
    std::ifstream file("/proc/" + std::to_string(process) + "/stat");
    std::string field;
    constexpr int UserTimeField = 14;
    for (int i = 1; i < UserTimeField; i++) {
        file >> field;
    }
    long user = 0;
    long system = 0;
    file >> user >> system;
    return user + system;
}

} // namespace

Crowd::Crowd(const std::string &address, int port, int count, int receiveBytes)
{
    connections_.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; i++) {
        const int descriptor = connectTo(address, port, receiveBytes);
        if (descriptor >= 0) {
            connections_.push_back({descriptor, 0});
        }
    }
}

Crowd::~Crowd()
{
    close();
}

void Crowd::send(const std::string &bytes)
{
    std::vector<Connection *> all;
    all.reserve(connections_.size());
    for (Connection &connection : connections_) {
        all.push_back(&connection);
    }
    sendTo(all, bytes);
}

void Crowd::sendInTurn(const std::string &bytes)
{
    for (Connection &connection : connections_) {
        sendTo({&connection}, bytes);
    }
}

void Crowd::sendTo(const std::vector<Connection *> &connections, const std::string &bytes)
{
    if (bytes.empty()) {
        return;
    }
    std::vector<Connection *> open = connections;
    for (Connection *connection : open) {
        connection->sent = 0;
    }
    int idlePolls = 0;
    while (!open.empty() && idlePolls < MaxIdlePolls) {
        bool hasProgress = false;
        std::erase_if(open, [&](Connection *connection) {
            const ssize_t count = ::send(connection->descriptor, bytes.data() + connection->sent, bytes.size() - connection->sent, MSG_NOSIGNAL | MSG_DONTWAIT);
            if (count > 0) {
                connection->sent += static_cast<std::size_t>(count);
                hasProgress = true;
                return connection->sent == bytes.size();
            }
            return errno != EAGAIN && errno != EWOULDBLOCK;
        });
        if (hasProgress || open.empty()) {
            idlePolls = 0;
            continue;
        }
        idlePolls++;
        ::poll(nullptr, 0, PollPeriodMs);
    }
}

std::size_t Crowd::openConnections()
{
    return static_cast<std::size_t>(
        std::count_if(connections_.begin(), connections_.end(), [](const Connection &connection) { return !isClosedByPeer(connection.descriptor); }));
}

void Crowd::close()
{
    for (const Connection &connection : connections_) {
        ::close(connection.descriptor);
    }
    connections_.clear();
}

std::size_t peakMemoryMegabytes(pid_t process)
{
    std::ifstream file("/proc/" + std::to_string(process) + "/status");
    std::string name;
    while (file >> name) {
        std::size_t kilobytes = 0;
        if (name == "VmHWM:" && file >> kilobytes) {
            return kilobytes / KilobytesPerMegabyte;
        }
    }
    ADD_FAILURE() << "the memory of process " << process << " can't be read";
    return 0;
}

std::size_t openDescriptors(pid_t process)
{
    std::error_code error;
    std::size_t count = 0;
    for (std::filesystem::directory_iterator entry("/proc/" + std::to_string(process) + "/fd", error); !error && entry != std::filesystem::directory_iterator();
         entry.increment(error)) {
        count++;
    }
    EXPECT_FALSE(error) << error.message();
    return count;
}

void waitIdle(pid_t process)
{
    constexpr int MaxRounds = 150;
    constexpr int RoundMs = 200;
    constexpr long IdleTicks = 2;
    long before = processorTicks(process);
    for (int i = 0; i < MaxRounds; i++) {
        ::poll(nullptr, 0, RoundMs);
        const long now = processorTicks(process);
        if (now - before <= IdleTicks) {
            return;
        }
        before = now;
    }
}

} // namespace cardamomlift::test
