#include "http/server.h"

#include "exchange.h"
#include "serverimpl.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace cardamomlift::http {

namespace {

constexpr unsigned StallMarginSeconds = 5;
/// Memory of a connection in MHD, without a request and with one of usual size.
constexpr std::size_t IdleConnectionBytes = 2048;
constexpr std::size_t BusyConnectionBytes = 8192;
constexpr int HttpRequestTimeout = 408;
constexpr int HttpContentTooLarge = 413;
constexpr int HttpHeaderTooLarge = 431;

MHD_Result collectHeader(void *context, MHD_ValueKind, const char *key, const char *value)
{
    (*static_cast<Headers *>(context))[key] = value ? value : "";
    return MHD_YES;
}

MHD_Result collectQuery(void *context, MHD_ValueKind, const char *key, const char *value)
{
    (*static_cast<Query *>(context))[key] = value ? value : "";
    return MHD_YES;
}

MHD_Result onAccess(
    void *context, MHD_Connection *connection, const char *url, const char *method, const char *, const char *upload, std::size_t *uploadSize, void **slot)
{
    auto *impl = static_cast<Server::Impl *>(context);
    auto *exchange = static_cast<Exchange *>(*slot);
    if (impl->stopping && (!exchange || !exchange->handled)) {
        return MHD_NO;
    }
    if (!exchange) {
        auto created = std::make_shared<Exchange>(impl, connection);
        created->self = created;
        created->request.method = method;
        created->request.path = url;
        MHD_get_connection_values(connection, MHD_HEADER_KIND, &collectHeader, &created->request.headers);
        MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, &collectQuery, &created->request.query);
        *slot = created.get();
        ConnectionState &state = impl->connections[connection];
        state.inHeader = false;
        state.exchange = created.get();
        created->updateAccount();
        if (!created->announcesTooLarge()) {
            return MHD_YES;
        }
        // Answered at once, before the body: MHD then closes the connection instead of reading it.
        exchange = created.get();
        exchange->bodyTooLarge = true;
    }
    if (*uploadSize > 0) {
        const bool keepReading = exchange->takeBody({upload, *uploadSize});
        *uploadSize = 0;
        return keepReading ? MHD_YES : MHD_NO;
    }
    if (!exchange->handled) {
        exchange->handled = true;
        exchange->updateAccount();
        impl->stopReading(connection);
        if (exchange->bodyTooLarge) {
            impl->refused(HttpContentTooLarge);
            exchange->respond(impl->errorBody(HttpContentTooLarge));
        } else {
            impl->handler(std::move(exchange->request), exchange->self);
        }
    }
    if (exchange->hasHead()) {
        return exchange->queueHead();
    }
    exchange->suspend();
    return MHD_YES;
}

void onCompleted(void *context, MHD_Connection *connection, void **slot, MHD_RequestTerminationCode code)
{
    auto *exchange = static_cast<Exchange *>(*slot);
    if (!exchange) {
        return;
    }
    *slot = nullptr;
    const bool whole = code == MHD_REQUEST_TERMINATED_COMPLETED_OK;
    auto *impl = static_cast<Server::Impl *>(context);
    impl->connections[connection].exchange = nullptr;
    impl->updateAccount(connection, clientbudget::Activity::Waiting, 0);
    if (whole) {
        impl->connections[connection].hasServed = true;
        impl->startReading(connection);
    }
    exchange->end(whole);
}

void *onRequestLine(void *context, const char *, MHD_Connection *connection)
{
    auto *impl = static_cast<Server::Impl *>(context);
    impl->connections[connection].inHeader = true;
    impl->updateAccount(connection, clientbudget::Activity::Receiving, 0);
    return nullptr;
}

void onConnection(void *context, MHD_Connection *connection, void **, MHD_ConnectionNotificationCode code)
{
    auto *impl = static_cast<Server::Impl *>(context);
    if (code == MHD_CONNECTION_NOTIFY_STARTED) {
        if (impl->openAccount(connection)) {
            impl->startReading(connection);
        }
        return;
    }
    // MHD itself answered 431, or the caller left in the middle of a header.
    if (impl->connections[connection].inHeader) {
        impl->refused(HttpHeaderTooLarge);
    }
    impl->stopReading(connection);
    impl->connections.erase(connection);
}

void shutDown(MHD_Connection *connection)
{
    const MHD_ConnectionInfo *info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    shutdown(info->connect_fd, SHUT_RDWR);
}

Response plainError(int status)
{
    return Response{status, {{"Content-Type", "text/plain"}}, "The request was refused.\n"};
}

} // namespace

void Server::Impl::run()
{
    ev_idle_stop(loop->raw(), &runWatcher);
    MHD_run(daemon);
    MHD_UNSIGNED_LONG_LONG timeout = 0;
    ev_timer_stop(loop->raw(), &timeoutWatcher);
    if (MHD_get_timeout(daemon, &timeout) == MHD_YES) {
        if (timeout == 0) {
            scheduleRun();
            return;
        }
        ev_timer_set(&timeoutWatcher, static_cast<double>(timeout) / 1000.0, 0.0);
        ev_timer_start(loop->raw(), &timeoutWatcher);
    }
}

// NOTE MHD's own timeout starts anew with each byte; a header sent a byte a second would never end.
void Server::Impl::startReading(MHD_Connection *connection)
{
    stopReading(connection);
    if (options.idleSeconds == 0) {
        return;
    }
    connections[connection].timer = loop->after(std::chrono::seconds(options.idleSeconds), [this, connection] { onReadingTooSlow(connection); });
}

void Server::Impl::stopReading(MHD_Connection *connection)
{
    ConnectionState &state = connections[connection];
    loop->cancel(state.timer);
    state.timer = 0;
}

void Server::Impl::onReadingTooSlow(MHD_Connection *connection)
{
    ConnectionState &state = connections[connection];
    if (state.inHeader || !state.hasServed) {
        refused(HttpRequestTimeout);
    }
    state.inHeader = false;
    shutDown(connection);
}

bool Server::Impl::openAccount(MHD_Connection *connection)
{
    if (!budget) {
        return true;
    }
    auto account = budget->open([this, connection](const clientbudget::ConnectionUse &, clientbudget::Shortage) { onEvicted(connection); });
    if (!account) {
        shutDown(connection);
        return false;
    }
    connections[connection].account = std::move(account);
    return true;
}

void Server::Impl::updateAccount(MHD_Connection *connection, clientbudget::Activity activity, std::size_t bytes)
{
    const auto found = connections.find(connection);
    if (found == connections.end() || !found->second.account) {
        return;
    }
    const std::size_t bufferBytes = activity == clientbudget::Activity::Waiting ? IdleConnectionBytes : BusyConnectionBytes;
    found->second.account->setActivity(activity);
    found->second.account->setBytes(bufferBytes + bytes);
}

// MHD closes a connection that has been shut down when it runs the next time.
void Server::Impl::onEvicted(MHD_Connection *connection)
{
    const auto found = connections.find(connection);
    if (found == connections.end()) {
        return;
    }
    found->second.inHeader = false;
    if (found->second.exchange) {
        found->second.exchange->giveUp();
    }
    shutDown(connection);
    scheduleRun();
}

void Server::Impl::refused(int status) const
{
    if (refusalHandler) {
        refusalHandler(status);
    }
}

void Server::Impl::scheduleRun()
{
    ev_idle_start(loop->raw(), &runWatcher);
}

Result<void> Server::Impl::start()
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(options.port);
    if (inet_pton(AF_INET, options.address.c_str(), &address.sin_addr) != 1) {
        return failure(ErrorKind::Invalid, "not an IPv4 number: " + options.address);
    }
    unsigned flags = MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME;
    std::vector<MHD_OptionItem> extra;
    if (!options.certificatePem.empty()) {
        flags |= MHD_USE_TLS;
        extra.push_back({MHD_OPTION_HTTPS_MEM_CERT, 0, options.certificatePem.data()});
        extra.push_back({MHD_OPTION_HTTPS_MEM_KEY, 0, options.privateKeyPem.data()});
    }
    extra.push_back({MHD_OPTION_END, 0, nullptr});
    // MHD's timeout ends connections that don't take their answer; later than our timer, which is for those that send.
    const unsigned stallSeconds = options.idleSeconds == 0 ? 0 : options.idleSeconds + StallMarginSeconds;
    daemon = MHD_start_daemon(flags,
        options.port,
        nullptr,
        nullptr,
        &onAccess,
        this,
        MHD_OPTION_SOCK_ADDR,
        &address,
        MHD_OPTION_LISTENING_ADDRESS_REUSE,
        1u,
        MHD_OPTION_NOTIFY_COMPLETED,
        &onCompleted,
        this,
        MHD_OPTION_NOTIFY_CONNECTION,
        &onConnection,
        this,
        MHD_OPTION_URI_LOG_CALLBACK,
        &onRequestLine,
        this,
        MHD_OPTION_CONNECTION_MEMORY_LIMIT,
        options.maxHeaderBytes,
        MHD_OPTION_CONNECTION_LIMIT,
        options.maxConnections,
        MHD_OPTION_CONNECTION_TIMEOUT,
        stallSeconds,
        MHD_OPTION_ARRAY,
        extra.data(),
        MHD_OPTION_END);
    if (!daemon) {
        return failure(ErrorKind::Unavailable, "can't listen on " + options.address + ":" + std::to_string(options.port));
    }
    port = MHD_get_daemon_info(daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
    const int epollFd = MHD_get_daemon_info(daemon, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd;
    epollWatcher.data = this;
    ev_io_init(
        &epollWatcher, [](struct ev_loop *, ev_io *watcher, int) { static_cast<Impl *>(watcher->data)->run(); }, epollFd, EV_READ);
    ev_io_start(loop->raw(), &epollWatcher);
    timeoutWatcher.data = this;
    ev_timer_init(
        &timeoutWatcher, [](struct ev_loop *, ev_timer *watcher, int) { static_cast<Impl *>(watcher->data)->run(); }, 0.0, 0.0);
    runWatcher.data = this;
    ev_idle_init(&runWatcher, [](struct ev_loop *, ev_idle *watcher, int) { static_cast<Impl *>(watcher->data)->run(); });
    return success();
}

void Server::Impl::stop()
{
    if (!daemon) {
        return;
    }
    // NOTE MHD aborts the process when it is stopped with a suspended connection, so no request is taken from here on.
    stopping = true;
    const std::vector<Exchange *> open(exchanges.begin(), exchanges.end());
    for (Exchange *exchange : open) {
        exchange->resumeForShutdown();
    }
    MHD_run(daemon);
    ev_io_stop(loop->raw(), &epollWatcher);
    ev_timer_stop(loop->raw(), &timeoutWatcher);
    ev_idle_stop(loop->raw(), &runWatcher);
    MHD_stop_daemon(daemon);
    daemon = nullptr;
    if (listenSocket >= 0) {
        close(listenSocket);
    }
}

Result<std::unique_ptr<Server>> Server::create(EventLoop &loop, ServerOptions options, Handler handler, std::shared_ptr<clientbudget::ClientBudget> budget)
{
    std::unique_ptr<Server> server(new Server);
    server->impl_ = std::make_unique<Impl>();
    server->impl_->loop = &loop;
    server->impl_->options = std::move(options);
    server->impl_->handler = std::move(handler);
    server->impl_->budget = std::move(budget);
    server->impl_->errorBody = &plainError;
    BOOST_OUTCOME_TRYV(server->impl_->start());
    return server;
}

Server::~Server()
{
    if (impl_) {
        impl_->stop();
    }
}

std::uint16_t Server::port() const
{
    return impl_->port;
}

void Server::stopListening()
{
    if (impl_->quiesced) {
        return;
    }
    impl_->quiesced = true;
    impl_->listenSocket = MHD_quiesce_daemon(impl_->daemon);
    if (impl_->listenSocket >= 0) {
        close(impl_->listenSocket);
        impl_->listenSocket = -1;
    }
}

std::size_t Server::openRequests() const
{
    return impl_->openRequests;
}

void Server::setRefusalHandler(RefusalHandler handler)
{
    impl_->refusalHandler = std::move(handler);
}

void Server::setErrorBody(std::function<Response(int)> makeBody)
{
    impl_->errorBody = std::move(makeBody);
}

} // namespace cardamomlift::http
