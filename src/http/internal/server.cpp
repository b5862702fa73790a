#include "http/server.h"

#include <ev.h>
#include <microhttpd.h>

#include <arpa/inet.h>
#include <charconv>
#include <cstring>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace cardamomlift::http {

namespace {

constexpr std::size_t StreamBlockBytes = 4096;
constexpr unsigned StallMarginSeconds = 5;
constexpr int HttpRequestTimeout = 408;
constexpr int HttpContentTooLarge = 413;
constexpr int HttpHeaderTooLarge = 431;
/// A body without announced length is read up to so many times the limit, so that its sender sees the refusal.
constexpr std::size_t TolerancePastBodyLimit = 4;

class Exchange;

/// How far a connection is with its next request, until that request is whole.
struct ReadingState {
    TimerId timer = 0; ///< Ends the connection; 0: the request is whole.
    bool inHeader = false; ///< The request line has come, the end of the header has not.
    bool hasServed = false; ///< An earlier request was answered: silence is no refusal.
};

} // namespace

struct Server::Impl {
    EventLoop *loop = nullptr;
    ServerOptions options;
    Handler handler;
    RefusalHandler refusalHandler;
    std::function<Response(int)> errorBody;
    MHD_Daemon *daemon = nullptr;
    ev_io epollWatcher{};
    ev_timer timeoutWatcher{};
    ev_idle runWatcher{};
    std::uint16_t port = 0;
    std::size_t openRequests = 0;
    bool quiesced = false;
    int listenSocket = -1;
    std::unordered_set<Exchange *> exchanges;
    std::unordered_map<MHD_Connection *, ReadingState> reading;

    void run();
    void scheduleRun();
    Result<void> start();
    void stop();
    void startReading(MHD_Connection *connection);
    void stopReading(MHD_Connection *connection);
    void onReadingTooSlow(MHD_Connection *connection);
    void refused(int status) const;
};

namespace {

/// One request and its answer; MHD's per-request context.
class Exchange : public Responder, public std::enable_shared_from_this<Exchange>
{
public:
    Exchange(Server::Impl *server, MHD_Connection *connection)
        : server_(server)
        , connection_(connection)
    {
        server_->openRequests++;
        server_->exchanges.insert(this);
    }

    void respond(Response response) override
    {
        if (ended_ || hasHead_) {
            return;
        }
        hasHead_ = true;
        finished_ = true;
        head_ = std::move(response);
        wakeUp();
    }

    void startStream(int status, Headers headers) override
    {
        if (ended_ || hasHead_) {
            return;
        }
        hasHead_ = true;
        streaming_ = true;
        head_.status = status;
        head_.headers = std::move(headers);
        wakeUp();
    }

    void write(std::string_view bytes) override
    {
        if (ended_ || !streaming_ || finished_) {
            return;
        }
        pending_.append(bytes);
        wakeUp();
    }

    void finish() override
    {
        finished_ = true;
        wakeUp();
    }

    void abort() override
    {
        aborted_ = true;
        finished_ = true;
        hasHead_ = true;
        wakeUp();
    }

    bool isClosed() const override
    {
        return ended_;
    }

    bool isStreaming() const override
    {
        return streaming_;
    }

    std::size_t bufferedBytes() const override
    {
        return pending_.size() - taken_;
    }

    void onClosed(std::function<void()> handler) override
    {
        closedHandler_ = std::move(handler);
    }

    Request request;
    std::shared_ptr<Exchange> self;
    bool bodyTooLarge = false;
    bool handled = false;

    /// Adds a piece of the body. False when so much too much has come that the connection is to be closed.
    bool takeBody(std::string_view bytes)
    {
        const std::size_t most = server_->options.maxBodyBytes;
        bodyBytes_ += bytes.size();
        if (bodyBytes_ <= most) {
            request.body.append(bytes);
            return true;
        }
        bodyTooLarge = true;
        request.body = {};
        return bodyBytes_ <= most * TolerancePastBodyLimit;
    }

    /// True if the request says itself that its body is over the limit.
    bool announcesTooLarge() const
    {
        const std::string_view length = headerValue(request.headers, "Content-Length");
        std::size_t bytes = 0;
        std::from_chars(length.data(), length.data() + length.size(), bytes);
        return bytes > server_->options.maxBodyBytes;
    }

    bool hasHead() const
    {
        return hasHead_;
    }

    /// Queues the answer's head with MHD. Runs inside MHD's access handler.
    MHD_Result queueHead()
    {
        if (aborted_ && !streaming_) {
            return MHD_NO;
        }
        MHD_Response *response = nullptr;
        if (streaming_) {
            response = MHD_create_response_from_callback(MHD_SIZE_UNKNOWN, StreamBlockBytes, &Exchange::readMore, this, nullptr);
        } else {
            response = MHD_create_response_from_buffer(head_.body.size(), head_.body.data(), MHD_RESPMEM_MUST_COPY);
        }
        for (const auto &[name, value] : head_.headers) {
            MHD_add_response_header(response, name.c_str(), value.c_str());
        }
        const MHD_Result queued = MHD_queue_response(connection_, static_cast<unsigned>(head_.status), response);
        MHD_destroy_response(response);
        return queued;
    }

    /// Stops MHD's work on the connection until wakeUp(), and watches the socket for the caller going away.
    void suspend()
    {
        if (suspended_ || ended_) {
            return;
        }
        suspended_ = true;
        MHD_suspend_connection(connection_);
        watchSocket();
    }

    void end(bool whole)
    {
        stopWatching();
        ended_ = true;
        server_->openRequests--;
        server_->exchanges.erase(this);
        if (!whole && closedHandler_) {
            auto handler = std::move(closedHandler_);
            handler();
        }
        closedHandler_ = nullptr;
        self.reset();
    }

    void resumeForShutdown()
    {
        aborted_ = true;
        finished_ = true;
        hasHead_ = true;
        if (suspended_) {
            suspended_ = false;
            stopWatching();
            MHD_resume_connection(connection_);
        }
    }

private:
    static ssize_t readMore(void *context, std::uint64_t, char *buffer, std::size_t capacity)
    {
        auto *exchange = static_cast<Exchange *>(context);
        if (exchange->aborted_) {
            return MHD_CONTENT_READER_END_WITH_ERROR;
        }
        const std::size_t available = exchange->bufferedBytes();
        if (available == 0) {
            if (exchange->finished_) {
                return MHD_CONTENT_READER_END_OF_STREAM;
            }
            exchange->suspend();
            return 0;
        }
        const std::size_t size = std::min(available, capacity);
        std::memcpy(buffer, exchange->pending_.data() + exchange->taken_, size);
        exchange->taken_ += size;
        if (exchange->taken_ == exchange->pending_.size()) {
            exchange->pending_.clear();
            exchange->taken_ = 0;
        }
        return static_cast<ssize_t>(size);
    }

    void wakeUp()
    {
        if (!suspended_ || ended_) {
            return;
        }
        suspended_ = false;
        stopWatching();
        MHD_resume_connection(connection_);
        server_->scheduleRun();
    }

    // NOTE MHD does not look at a suspended connection, so a caller who hangs up while we wait is seen only here.
    void watchSocket()
    {
        const MHD_ConnectionInfo *info = MHD_get_connection_info(connection_, MHD_CONNECTION_INFO_CONNECTION_FD);
        if (!info || watching_) {
            return;
        }
        socketWatcher_.data = this;
        ev_io_init(
            &socketWatcher_,
            [](struct ev_loop *, ev_io *watcher, int) { static_cast<Exchange *>(watcher->data)->socketReadable(); },
            info->connect_fd,
            EV_READ);
        ev_io_start(server_->loop->raw(), &socketWatcher_);
        watching_ = true;
    }

    void stopWatching()
    {
        if (watching_) {
            ev_io_stop(server_->loop->raw(), &socketWatcher_);
            watching_ = false;
        }
    }

    void socketReadable()
    {
        char byte = 0;
        const ssize_t size = recv(socketWatcher_.fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        stopWatching();
        if (size > 0) {
            return;
        }
        aborted_ = true;
        finished_ = true;
        hasHead_ = true;
        wakeUp();
    }

    Server::Impl *server_;
    MHD_Connection *connection_;
    Response head_;
    std::string pending_;
    std::size_t taken_ = 0;
    std::size_t bodyBytes_ = 0;
    std::function<void()> closedHandler_;
    ev_io socketWatcher_{};
    bool watching_ = false;
    bool hasHead_ = false;
    bool streaming_ = false;
    bool finished_ = false;
    bool aborted_ = false;
    bool ended_ = false;
    bool suspended_ = false;
};

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
    if (!exchange) {
        auto created = std::make_shared<Exchange>(impl, connection);
        created->self = created;
        created->request.method = method;
        created->request.path = url;
        MHD_get_connection_values(connection, MHD_HEADER_KIND, &collectHeader, &created->request.headers);
        MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, &collectQuery, &created->request.query);
        *slot = created.get();
        impl->reading[connection].inHeader = false;
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
    if (whole) {
        auto *impl = static_cast<Server::Impl *>(context);
        impl->reading[connection].hasServed = true;
        impl->startReading(connection);
    }
    exchange->end(whole);
}

void *onRequestLine(void *context, const char *, MHD_Connection *connection)
{
    static_cast<Server::Impl *>(context)->reading[connection].inHeader = true;
    return nullptr;
}

void onConnection(void *context, MHD_Connection *connection, void **, MHD_ConnectionNotificationCode code)
{
    auto *impl = static_cast<Server::Impl *>(context);
    if (code == MHD_CONNECTION_NOTIFY_STARTED) {
        impl->startReading(connection);
        return;
    }
    // MHD itself answered 431, or the caller left in the middle of a header.
    if (impl->reading[connection].inHeader) {
        impl->refused(HttpHeaderTooLarge);
    }
    impl->stopReading(connection);
    impl->reading.erase(connection);
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
    reading[connection].timer = loop->after(std::chrono::seconds(options.idleSeconds), [this, connection] { onReadingTooSlow(connection); });
}

void Server::Impl::stopReading(MHD_Connection *connection)
{
    ReadingState &state = reading[connection];
    loop->cancel(state.timer);
    state.timer = 0;
}

void Server::Impl::onReadingTooSlow(MHD_Connection *connection)
{
    ReadingState &state = reading[connection];
    if (state.inHeader || !state.hasServed) {
        refused(HttpRequestTimeout);
    }
    state.inHeader = false;
    const MHD_ConnectionInfo *info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    shutdown(info->connect_fd, SHUT_RDWR);
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
    // NOTE MHD aborts the process when it is stopped with a suspended connection.
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

Result<std::unique_ptr<Server>> Server::create(EventLoop &loop, ServerOptions options, Handler handler)
{
    std::unique_ptr<Server> server(new Server);
    server->impl_ = std::make_unique<Impl>();
    server->impl_->loop = &loop;
    server->impl_->options = std::move(options);
    server->impl_->handler = std::move(handler);
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
