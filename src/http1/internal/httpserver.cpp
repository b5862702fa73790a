#include "http1/httpserver.h"

#include "http1/internal/serverconnection.h"

#include <arpa/inet.h>
#include <ev.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <unordered_map>

namespace cardamomlift::http1 {

namespace {

constexpr int Backlog = 1024;
/// How often the timeouts of connections are checked; the timeouts are in the range of seconds.
constexpr Duration TimeoutCheckPeriod = std::chrono::milliseconds(500);
/// Connections accepted per round of the loop, so that other sockets are served in between.
constexpr int AcceptBatch = 64;
/// How long no connection is accepted after the process had no descriptor for one.
constexpr Duration AcceptPause = std::chrono::milliseconds(50);

class HttpServerImpl : public HttpServer
{
public:
    HttpServerImpl(EventLoop &loop, const ServerLimits &limits, ServerHandlers handlers, std::shared_ptr<clientbudget::ClientBudget> budget)
        : loop_(loop)
        , state_(std::make_shared<ServerState>())
    {
        state_->loop = &loop;
        state_->limits = limits;
        state_->handlers = std::move(handlers);
        state_->budget = std::move(budget);
        state_->removeConnection = [this](ServerConnection *connection) {
            removeConnection(connection);
        };
    }

    ~HttpServerImpl() override
    {
        loop_.cancel(timeoutCheckTimer_);
        loop_.cancel(acceptTimer_);
        state_->removeConnection = [](ServerConnection *) {
        };
        if (descriptor_ >= 0) {
            ev_io_stop(loop_.raw(), &watcher_);
            ::close(descriptor_);
        }
    }

    Result<void> open(const Endpoint &at)
    {
        descriptor_ = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        const int on = 1;
        setsockopt(descriptor_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(at.port);
        inet_pton(AF_INET, at.address.c_str(), &address.sin_addr);
        if (::bind(descriptor_, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0 || ::listen(descriptor_, Backlog) != 0) {
            return failure(ErrorKind::Unavailable, "can't listen on " + formatEndpoint(at));
        }
        socklen_t size = sizeof address;
        getsockname(descriptor_, reinterpret_cast<sockaddr *>(&address), &size);
        port_ = ntohs(address.sin_port);
        watcher_.data = this;
        ev_io_init(
            &watcher_, [](struct ev_loop *, ev_io *watcher, int) { static_cast<HttpServerImpl *>(watcher->data)->acceptConnections(); }, descriptor_, EV_READ);
        ev_io_start(loop_.raw(), &watcher_);
        timeoutCheckTimer_ = loop_.every(TimeoutCheckPeriod, [this] { checkConnections(); });
        return success();
    }

    void setLimits(const ServerLimits &limits) override
    {
        state_->limits = limits;
    }

    void disableKeepAlive() override
    {
        state_->keepAliveDisabled = true;
    }

    void stopReading() override
    {
        loop_.cancel(acceptTimer_);
        ev_io_stop(loop_.raw(), &watcher_);
        for (const auto &[key, connection] : connections_) {
            connection->stopReading();
        }
    }

    std::size_t openConnections() const override
    {
        return connections_.size();
    }

    std::size_t openExchanges() const override
    {
        return state_->openExchanges;
    }

    bool hasUnsentResponses() const override
    {
        return std::any_of(connections_.begin(), connections_.end(), [](const auto &entry) { return entry.second->hasUnsentResponse(); });
    }

    std::uint16_t port() const override
    {
        return port_;
    }

private:
    void acceptConnections()
    {
        for (int i = 0; i < AcceptBatch; i++) {
            const int descriptor = ::accept4(descriptor_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
            if (descriptor < 0) {
                checkDescriptorsExhausted(errno);
                return;
            }
            if (auto connection = ServerConnection::create(state_, descriptor)) {
                connections_[connection.get()] = std::move(connection);
            }
        }
    }

    // NOTE A listener with a waiting connection stays readable: without a pause, the loop would do nothing but fail to accept it.
    void checkDescriptorsExhausted(int error)
    {
        if (error != EMFILE && error != ENFILE && error != ENOBUFS && error != ENOMEM) {
            return;
        }
        state_->budget->noteDescriptorsExhausted();
        ev_io_stop(loop_.raw(), &watcher_);
        acceptTimer_ = loop_.after(AcceptPause, [this] { ev_io_start(loop_.raw(), &watcher_); });
    }

    // Destroyed by the loop later, as this may be called from a member function of the connection.
    void removeConnection(ServerConnection *connection)
    {
        const auto found = connections_.find(connection);
        if (found == connections_.end()) {
            return;
        }
        loop_.post([removed = std::move(found->second)] {});
        connections_.erase(found);
    }

    void checkConnections()
    {
        std::vector<std::shared_ptr<ServerConnection>> connections;
        connections.reserve(connections_.size());
        for (const auto &[key, connection] : connections_) {
            connections.push_back(connection);
        }
        const TimePoint now = loop_.now();
        for (const auto &connection : connections) {
            connection->checkTimeouts(now);
        }
    }

    EventLoop &loop_;
    std::shared_ptr<ServerState> state_;
    ev_io watcher_{};
    int descriptor_ = -1;
    std::uint16_t port_ = 0;
    TimerId timeoutCheckTimer_ = 0;
    TimerId acceptTimer_ = 0;
    std::unordered_map<ServerConnection *, std::shared_ptr<ServerConnection>> connections_;
};

} // namespace

Result<std::shared_ptr<HttpServer>> HttpServer::listen(
    EventLoop &loop, const Endpoint &at, const ServerLimits &limits, ServerHandlers handlers, std::shared_ptr<clientbudget::ClientBudget> budget)
{
    if (!budget) {
        budget = clientbudget::ClientBudget::create(loop.clock(), {});
    }
    auto server = std::make_shared<HttpServerImpl>(loop, limits, std::move(handlers), std::move(budget));
    BOOST_OUTCOME_TRY(server->open(at));
    return std::shared_ptr<HttpServer>(server);
}

} // namespace cardamomlift::http1
