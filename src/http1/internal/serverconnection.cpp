#include "http1/internal/serverconnection.h"

#include <utility>

namespace cardamomlift::http1 {

namespace {

/// Bytes of following requests that are read ahead while one is answered; beyond it the socket is not read.
constexpr std::size_t WaitingBytes = 65536;
/// How long a connection is read on after its last answer, so that closing it does not destroy that answer on its way.
constexpr Duration LingerTime = std::chrono::seconds(2);
/// A caller that takes no answer byte for this long is gone, though its connection still stands.
constexpr Duration CallerUnacked = std::chrono::seconds(10);

constexpr int StatusBadRequest = 400;
constexpr int StatusTimeout = 408;
constexpr int StatusBodyTooLarge = 413;
constexpr int StatusHeaderTooLarge = 431;
constexpr int StatusUnavailable = 503;

int statusOf(ReadError error)
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
    , lastByteAt_(server_->loop->now())
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
    options.unackedTimeout = CallerUnacked;
    connection->socket_ = Socket::adopt(*raw->server_->loop, descriptor, options, std::move(handlers));
    return connection;
}

ServerConnection::~ServerConnection()
{
    dropRequest();
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
    gone_ = std::move(handler);
}

void ServerConnection::onData(std::string_view bytes)
{
    lastByteAt_ = server_->loop->now();
    if (phase_ == Phase::Lingering || phase_ == Phase::Ended) {
        return;
    }
    if (phase_ == Phase::Answering) {
        waiting_ += bytes;
        if (waiting_.size() > WaitingBytes) {
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
    closeAfter_ = false;
    server_->openExchanges++;
}

void ServerConnection::readRequest(std::string_view bytes)
{
    if (phase_ == Phase::Idle) {
        startRequest();
    }
    const std::size_t used = reader_->feed(bytes);
    std::string part = reader_->takeBody();
    server_->bodyBytesHeld += part.size();
    body_ += part;
    if (reader_->error() != ReadError::None) {
        reject(statusOf(reader_->error()));
        return;
    }
    if (server_->bodyBytesHeld > server_->limits.maxBufferedBodyBytes) {
        reject(StatusUnavailable);
        return;
    }
    if (!reader_->isComplete()) {
        continueIfAsked();
        return;
    }
    waiting_ += bytes.substr(used);
    onRequestRead();
}

void ServerConnection::continueIfAsked()
{
    if (continueSent_ || !reader_->isHeadComplete() || !equalsIgnoreCase(reader_->head().fields.get("Expect"), "100-continue")) {
        return;
    }
    continueSent_ = true;
    socket_->write("HTTP/1.1 100 Continue\r\n\r\n");
}

void ServerConnection::onRequestRead()
{
    phase_ = Phase::Answering;
    closeAfter_ = !reader_->keepsAlive();
    server_->handlers.onRequest(shared_from_this());
}

void ServerConnection::reject(int status)
{
    phase_ = Phase::Answering;
    closeAfter_ = true;
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
    closeAfter_ = closeAfter_ || server_->closing;
    std::string bytes = encodeHead(head, Framing::Length, body.size(), closeAfter_);
    if (!reader_->isHeadComplete() || reader_->head().method != "HEAD") {
        bytes += body;
    }
    socket_->write(bytes);
    finishAnswer();
}

void ServerConnection::begin(ResponseHead head)
{
    if (phase_ != Phase::Answering || headSent_) {
        return;
    }
    headSent_ = true;
    closeAfter_ = closeAfter_ || server_->closing;
    socket_->write(encodeHead(head, Framing::Chunked, 0, closeAfter_));
}

void ServerConnection::send(std::string_view part)
{
    if (phase_ != Phase::Answering || part.empty()) {
        return;
    }
    socket_->write(encodeChunk(part));
    if (socket_->unsentBytes() > server_->limits.maxUnsentResponseBytes) {
        onEnd();
    }
}

void ServerConnection::end()
{
    if (phase_ != Phase::Answering) {
        return;
    }
    socket_->write(LastChunk);
    finishAnswer();
}

void ServerConnection::abort()
{
    if (phase_ != Phase::Answering) {
        return;
    }
    gone_ = nullptr;
    closeNow();
}

void ServerConnection::finishAnswer()
{
    const auto self = shared_from_this();
    dropRequest();
    if (closeAfter_) {
        startLingering();
        return;
    }
    phase_ = Phase::Idle;
    socket_->setReading(true);
    if (waiting_.empty()) {
        return;
    }
    // NOTE Not from here: a handler that answers at once would recurse once for each request that waits.
    server_->loop->post([weak = weak_from_this()] {
        const auto connection = weak.lock();
        if (!connection || connection->phase_ != Phase::Idle) {
            return;
        }
        connection->readRequest(std::exchange(connection->waiting_, {}));
    });
}

void ServerConnection::startLingering()
{
    phase_ = Phase::Lingering;
    lastByteAt_ = server_->loop->now();
    startedAt_ = lastByteAt_;
    waiting_.clear();
    socket_->shutdownAfterWrite();
    socket_->setReading(true);
}

void ServerConnection::onEnd()
{
    const auto self = shared_from_this();
    const auto gone = std::exchange(gone_, nullptr);
    const bool wasAnswering = phase_ == Phase::Answering;
    closeNow();
    if (wasAnswering && gone) {
        gone();
    }
}

void ServerConnection::closeNow()
{
    const auto self = shared_from_this();
    dropRequest();
    phase_ = Phase::Ended;
    socket_->close();
    server_->forget(this);
}

void ServerConnection::dropRequest()
{
    if (phase_ == Phase::Reading || phase_ == Phase::Answering) {
        server_->openExchanges--;
    }
    server_->bodyBytesHeld -= body_.size();
    body_.clear();
    body_.shrink_to_fit();
    gone_ = nullptr;
}

void ServerConnection::stopReading()
{
    socket_->setReading(false);
}

void ServerConnection::checkTime(TimePoint now)
{
    const auto self = shared_from_this();
    const Duration silent = now - lastByteAt_;
    switch (phase_) {
    case Phase::Idle:
        if (silent > server_->limits.idleTimeout) {
            closeNow();
        }
        return;
    case Phase::Reading:
        if (!reader_->isHeadComplete() ? now - startedAt_ > server_->limits.headerTimeout : silent > server_->limits.idleTimeout) {
            reject(StatusTimeout);
        }
        return;
    case Phase::Lingering:
        if (now - startedAt_ > LingerTime && (socket_->unsentBytes() == 0 || now - startedAt_ > CallerUnacked)) {
            closeNow();
        }
        return;
    default:
        return;
    }
}

} // namespace cardamomlift::http1
