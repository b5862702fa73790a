#include "http1/internal/serverconnection.h"

#include <utility>

namespace cardamomlift::http1 {

namespace {

/// Bytes of further requests that are read ahead while one is answered; above it, reading is paused.
constexpr std::size_t MaxPipelinedBytes = 65536;
/// How long a connection is still read after its last response: closing it with unread bytes would send a reset, which may
/// destroy the response on its way.
constexpr Duration LingerTime = std::chrono::seconds(2);
/// A client that acknowledges no response bytes for this long counts as disconnected, although its connection is still open.
constexpr Duration UnackedTimeout = std::chrono::seconds(10);

/// RequestHead::version of HTTP/1.1.
constexpr int Http11 = 11;
constexpr int StatusBadRequest = 400;
constexpr int StatusTimeout = 408;
constexpr int StatusBodyTooLarge = 413;
constexpr int StatusHeaderTooLarge = 431;
constexpr int StatusUnavailable = 503;

int statusFor(ReadError error)
{
    switch (error) {
    case ReadError::HeaderTooLarge:
        return StatusHeaderTooLarge;
    case ReadError::BodyTooLarge:
        return StatusBodyTooLarge;
    default:
        return StatusBadRequest;
    }
}

} // namespace

ServerConnection::ServerConnection(std::shared_ptr<ServerState> server)
    : server_(std::move(server))
    , lastReceivedAt_(server_->loop->now())
{
}

std::shared_ptr<ServerConnection> ServerConnection::create(std::shared_ptr<ServerState> server, int descriptor)
{
    std::shared_ptr<ServerConnection> connection(new ServerConnection(std::move(server)));
    ServerConnection *raw = connection.get();
    SocketHandlers handlers;
    handlers.onData = [raw](std::string_view bytes) {
        raw->onData(bytes);
    };
    handlers.onEnd = [raw](SocketEnd) {
        raw->onEnd();
    };
    SocketOptions options;
    options.unackedTimeout = UnackedTimeout;
    connection->socket_ = Socket::adopt(*raw->server_->loop, descriptor, options, std::move(handlers));
    return connection;
}

ServerConnection::~ServerConnection()
{
    releaseRequest();
    if (socket_) {
        socket_->close();
    }
}

const RequestHead &ServerConnection::head() const
{
    return reader_->head();
}

const std::string &ServerConnection::body() const
{
    return body_;
}

TimePoint ServerConnection::startedAt() const
{
    return startedAt_;
}

void ServerConnection::onDisconnected(std::function<void()> handler)
{
    onDisconnected_ = std::move(handler);
}

void ServerConnection::onData(std::string_view bytes)
{
    lastReceivedAt_ = server_->loop->now();
    if (phase_ == Phase::Lingering || phase_ == Phase::Ended) {
        return;
    }
    if (phase_ == Phase::Answering) {
        pipelinedBytes_ += bytes;
        if (pipelinedBytes_.size() > MaxPipelinedBytes) {
            socket_->setReading(false);
        }
        return;
    }
    const auto self = shared_from_this();
    readRequest(bytes);
}

void ServerConnection::startRequest()
{
    phase_ = Phase::Reading;
    startedAt_ = server_->loop->now();
    reader_ = RequestReader::create(server_->limits.read);
    continueSent_ = false;
    headSent_ = false;
    closeAfterResponse_ = false;
    server_->openExchanges++;
}

void ServerConnection::readRequest(std::string_view bytes)
{
    if (phase_ == Phase::Idle) {
        startRequest();
    }
    const std::size_t used = reader_->feed(bytes);
    std::string part = reader_->takeBody();
    server_->bufferedBodyBytes += part.size();
    body_ += part;
    if (reader_->error() != ReadError::None) {
        reject(statusFor(reader_->error()));
        return;
    }
    if (server_->bufferedBodyBytes > server_->limits.maxBufferedBodyBytes) {
        reject(StatusUnavailable);
        return;
    }
    if (!reader_->isComplete()) {
        sendContinueIfExpected();
        return;
    }
    pipelinedBytes_ += bytes.substr(used);
    onRequestComplete();
}

void ServerConnection::sendContinueIfExpected()
{
    if (continueSent_ || !reader_->isHeadComplete() || !equalsIgnoreCase(reader_->head().fields.get("Expect"), "100-continue")) {
        return;
    }
    continueSent_ = true;
    socket_->write("HTTP/1.1 100 Continue\r\n\r\n");
}

void ServerConnection::onRequestComplete()
{
    phase_ = Phase::Answering;
    closeAfterResponse_ = !reader_->keepsAlive();
    server_->handlers.onRequest(shared_from_this());
}

void ServerConnection::reject(int status)
{
    phase_ = Phase::Answering;
    closeAfterResponse_ = true;
    server_->handlers.onRejected(status);
    ResponseHead head;
    head.status = status;
    if (status == StatusUnavailable) {
        head.fields.add("Retry-After", "1");
    }
    answer(std::move(head), {});
}

void ServerConnection::answer(ResponseHead head, std::string_view body)
{
    if (phase_ != Phase::Answering || headSent_) {
        return;
    }
    headSent_ = true;
    closeAfterResponse_ = closeAfterResponse_ || server_->keepAliveDisabled;
    std::string bytes = encodeHead(head, Framing::Length, body.size(), closeAfterResponse_);
    if (!reader_->isHeadComplete() || reader_->head().method != "HEAD") {
        bytes += body;
    }
    socket_->write(bytes);
    finishResponse();
}

// HTTP/1.0 knows no chunks.
void ServerConnection::begin(ResponseHead head)
{
    beginBody(head, reader_->head().version < Http11 ? Framing::Connection : Framing::Chunked);
}

void ServerConnection::beginUnframed(ResponseHead head)
{
    beginBody(head, Framing::Connection);
}

void ServerConnection::beginBody(const ResponseHead &head, Framing framing)
{
    if (phase_ != Phase::Answering || headSent_) {
        return;
    }
    headSent_ = true;
    framing_ = framing;
    closeAfterResponse_ = closeAfterResponse_ || server_->keepAliveDisabled || framing == Framing::Connection;
    if (framing == Framing::Connection) {
        // Only a reset tells the client that the body is not whole.
        socket_->setResetOnClose(true);
    }
    socket_->write(encodeHead(head, framing, 0, closeAfterResponse_));
}

void ServerConnection::send(std::string_view part)
{
    if (phase_ != Phase::Answering || part.empty()) {
        return;
    }
    socket_->write(framing_ == Framing::Chunked ? encodeChunk(part) : std::string(part));
    if (socket_->unsentBytes() > server_->limits.maxUnsentResponseBytes) {
        onEnd();
    }
}

void ServerConnection::end()
{
    if (phase_ != Phase::Answering) {
        return;
    }
    if (framing_ == Framing::Chunked) {
        socket_->write(LastChunk);
    } else {
        socket_->setResetOnClose(false);
    }
    finishResponse();
}

void ServerConnection::abort()
{
    if (phase_ != Phase::Answering) {
        return;
    }
    onDisconnected_ = nullptr;
    closeConnection();
}

void ServerConnection::finishResponse()
{
    const auto self = shared_from_this();
    releaseRequest();
    if (closeAfterResponse_) {
        startLingering();
        return;
    }
    phase_ = Phase::Idle;
    socket_->setReading(true);
    if (pipelinedBytes_.empty()) {
        return;
    }
    // NOTE Posted to the loop, as a handler that answers at once would otherwise recurse once per pipelined request.
    server_->loop->post([weak = weak_from_this()] {
        const auto connection = weak.lock();
        if (!connection || connection->phase_ != Phase::Idle) {
            return;
        }
        connection->readRequest(std::exchange(connection->pipelinedBytes_, {}));
    });
}

void ServerConnection::startLingering()
{
    phase_ = Phase::Lingering;
    lastReceivedAt_ = server_->loop->now();
    startedAt_ = lastReceivedAt_;
    pipelinedBytes_.clear();
    socket_->shutdownAfterWrite();
    socket_->setReading(true);
}

void ServerConnection::onEnd()
{
    const auto self = shared_from_this();
    const auto handler = std::exchange(onDisconnected_, nullptr);
    const bool wasAnswering = phase_ == Phase::Answering;
    closeConnection();
    if (wasAnswering && handler) {
        handler();
    }
}

void ServerConnection::closeConnection()
{
    const auto self = shared_from_this();
    releaseRequest();
    phase_ = Phase::Ended;
    socket_->close();
    server_->removeConnection(this);
}

void ServerConnection::releaseRequest()
{
    if (phase_ == Phase::Reading || phase_ == Phase::Answering) {
        server_->openExchanges--;
    }
    server_->bufferedBodyBytes -= body_.size();
    body_.clear();
    body_.shrink_to_fit();
    onDisconnected_ = nullptr;
}

void ServerConnection::stopReading()
{
    socket_->setReading(false);
}

void ServerConnection::checkTimeouts(TimePoint now)
{
    const auto self = shared_from_this();
    const Duration silence = now - lastReceivedAt_;
    switch (phase_) {
    case Phase::Idle:
        if (silence > server_->limits.idleTimeout) {
            closeConnection();
        }
        return;
    case Phase::Reading:
        if (!reader_->isHeadComplete() ? now - startedAt_ > server_->limits.headerTimeout : silence > server_->limits.idleTimeout) {
            reject(StatusTimeout);
        }
        return;
    case Phase::Lingering:
        if (now - startedAt_ > LingerTime && (socket_->unsentBytes() == 0 || now - startedAt_ > UnackedTimeout)) {
            closeConnection();
        }
        return;
    default:
        return;
    }
}

} // namespace cardamomlift::http1
