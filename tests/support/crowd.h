#pragma once

#include <cstddef>
#include <string>
#include <sys/types.h>
#include <vector>

namespace cardamomlift::test {

/// Connections of clients that send what a test tells them and read nothing.
class Crowd
{
public:
    /// Opens @p count connections; those that the peer refuses are left out. @p receiveBytes: size of each receive buffer; 0: the system's default.
    Crowd(const std::string &address, int port, int count, int receiveBytes = 0);
    ~Crowd();
    Crowd(const Crowd &) = delete;
    Crowd &operator=(const Crowd &) = delete;

    /// Sends @p bytes on each connection at once, until the peer has taken them, has closed the connection or takes no more.
    void send(const std::string &bytes);
    /// As send(), but on one connection after the other.
    void sendInTurn(const std::string &bytes);
    /// Connections that the peer has neither closed nor reset.
    std::size_t openConnections();
    void close();

private:
    struct Connection {
        int descriptor = -1;
        std::size_t sent = 0;
    };
    static void sendTo(const std::vector<Connection *> &connections, const std::string &bytes);
    std::vector<Connection> connections_;
};

/// The largest resident memory that a process has had so far, in MiB.
std::size_t peakMemoryMegabytes(pid_t process);
std::size_t openDescriptors(pid_t process);
/// Waits until a process has worked through what its clients have sent: until its use of processor time has stopped to grow.
void waitIdle(pid_t process);

} // namespace cardamomlift::test
