#pragma once

#include "clientbudget/clientbudget.h"
#include "kernel/eventloop.h"
#include "kernel/result.h"

#include <ev.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace cardamomlift::peers {

/// Accepts the connections of other entry VMs in the budget of all clients, and hands them over to gRPC, which knows no bound on connections.
class PeerListener
{
public:
    /// Takes ownership of @p descriptor, a connection accepted at @p listener.
    using Receiver = std::function<void(int listener, int descriptor)>;

    static Result<std::unique_ptr<PeerListener>> listen(
        EventLoop &loop, const std::string &address, std::uint16_t port, std::shared_ptr<clientbudget::ClientBudget> budget, Receiver receiver);
    ~PeerListener();
    PeerListener(const PeerListener &) = delete;
    PeerListener &operator=(const PeerListener &) = delete;

    std::uint16_t port() const;

private:
    /// A connection that gRPC reads and writes.
    struct Connection {
        int descriptor = -1; ///< A duplicate of gRPC's, to look at the connection and to shut it down.
        std::unique_ptr<clientbudget::ConnectionAccount> account;
    };
    PeerListener(EventLoop &loop, std::shared_ptr<clientbudget::ClientBudget> budget, Receiver receiver);
    Result<void> open(const std::string &address, std::uint16_t port);
    void acceptConnections();
    void addConnection(int descriptor);
    void pause();
    /// Forgets connections that have ended, and tells the budget which ones are in use.
    void checkConnections();
    void closeConnection(const Connection *connection);
    EventLoop &loop_;
    std::shared_ptr<clientbudget::ClientBudget> budget_;
    Receiver receiver_;
    ev_io watcher_{};
    int descriptor_ = -1;
    std::uint16_t port_ = 0;
    TimerId checkTimer_ = 0;
    TimerId pauseTimer_ = 0;
    std::vector<std::shared_ptr<Connection>> connections_;
};

} // namespace cardamomlift::peers
