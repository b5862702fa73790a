#include "http1/internal/serverconnection.h"

#include <algorithm>
#include <unistd.h>
#include <utility>

namespace cardamomlift::http1 {

namespace {

/// Bytes of further requests that are read ahead while one is answered; above it, reading is paused.
constexpr std::size_t MaxPipelinedBytes = 65536;
/// While more of an answer is unread, the next request on the connection is not read.
constexpr std::size_t MaxUnsentBeforeNextRequest = 65536;
/// Memory of a connection besides its buffers.
constexpr std::size_t ConnectionBytes = 2048;
/// A body above this is not copied behind its head, but sent on its own.
constexpr std::size_t LargeBodyBytes = 16384;
/// A head that takes more is freed once its request has been answered.
constexpr std::size_t KeptHeadBytes = 8192;
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
    const auto onEvicted = [weak = connection->weak_from_this()](const clientbudget::ConnectionUse &, clientbudget::Shortage shortage) {
        if (const auto self = weak.lock()) {
            self->onEvicted(shortage);
        }
    };
    connection->account_ = raw->server_->budget->open(onEvicted);
    if (!connection->account_) {
        ::close(descriptor);
        return nullptr;
    }
    SocketHandlers handlers;
    handlers.onData = [raw](std::string_view bytes) {
        raw->onData(bytes);
    };
    handlers.onEnd = [raw](SocketEnd) {
        raw->onEnd();
    };
    handlers.onDrained = [raw] {
        raw->onDrained();
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
    static const RequestHead None;
    return reader_ ? reader_->head() : None;
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
        updateAccount();
        return;
    }
    const auto self = shared_from_this();
    // NOTE Bytes that came earlier are read first, once the loop comes to it or the client has read the last answer.
    const bool mustWait = phase_ == Phase::Idle && (isWaitingForDrain_ || !pipelinedBytes_.empty());
    if (mustWait) {
        pipelinedBytes_ += bytes;
        updateAccount();
        return;
    }
    readRequest(bytes);
}

// Grows up to the announced length, not beyond it.
void ServerConnection::appendBody(const std::string &part)
{
    const std::size_t size = body_.size() + part.size();
    if (size > body_.capacity()) {
        const auto announced = parseNumber(reader_->head().fields.get("Content-Length"));
        const std::size_t doubled = std::max(size, body_.capacity() * 2);
        body_.reserve(announced ? std::clamp(static_cast<std::size_t>(*announced), size, doubled) : doubled);
    }
    body_ += part;
}

clientbudget::Activity ServerConnection::activity() const
{
    using clientbudget::Activity;
    if (phase_ == Phase::Reading) {
        return Activity::Receiving;
    }
    if (socket_->unsentBytes() > 0) {
        return Activity::Sending;
    }
    return phase_ == Phase::Answering ? Activity::Serving : Activity::Waiting;
}

void ServerConnection::updateAccount()
{
    if (!account_ || isRejecting_) {
        return;
    }
    account_->setActivity(activity());
    account_->setBytes(
        ConnectionBytes + (reader_ ? reader_->heldBytes() : 0) + body_.capacity() + pipelinedBytes_.capacity() + socket_->heldBytes() + handlerBytes_);
}

void ServerConnection::setHandlerBytes(std::size_t bytes)
{
    if (phase_ == Phase::Answering) {
        handlerBytes_ = bytes;
        updateAccount();
    }
}

void ServerConnection::onEvicted(clientbudget::Shortage shortage)
{
    const auto self = shared_from_this();
    if (phase_ == Phase::Reading && shortage == clientbudget::Shortage::Memory) {
        reject(StatusUnavailable);
        return;
    }
    if (phase_ != Phase::Answering) {
        closeConnection();
        return;
    }
    // NOTE The handler may be at work on this request now, so it is told later, and the request is kept until then.
    socket_->close();
    server_->loop->post([self] {
        if (self->phase_ != Phase::Ended) {
            self->onEnd();
        }
    });
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
    appendBody(reader_->takeBody());
    if (reader_->error() != ReadError::None) {
        reject(statusFor(reader_->error()));
        return;
    }
    updateAccount();
    if (phase_ != Phase::Reading) {
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
    account_->setActivity(activity());
    if (!account_->trySetDescriptors(server_->limits.descriptorsPerRequest)) {
        reject(StatusUnavailable);
        return;
    }
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
    // NOTE What the request held is freed, or about to be: counted meanwhile, it would cost other connections theirs.
    isRejecting_ = true;
    answer(std::move(head), {});
    reader_.reset();
    isRejecting_ = false;
    updateAccount();
}

void ServerConnection::answer(ResponseHead head, std::string_view body)
{
    if (phase_ != Phase::Answering || headSent_) {
        return;
    }
    headSent_ = true;
    closeAfterResponse_ = closeAfterResponse_ || server_->keepAliveDisabled;
    std::string bytes = encodeHead(head, Framing::Length, body.size(), closeAfterResponse_);
    const bool hasBody = !reader_->isHeadComplete() || reader_->head().method != "HEAD";
    const bool isLarge = body.size() > LargeBodyBytes;
    if (hasBody && !isLarge) {
        bytes += body;
    }
    socket_->write(bytes);
    if (hasBody && isLarge) {
        socket_->write(body);
    }
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
        return;
    }
    updateAccount();
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
    account_->trySetDescriptors(1);
    updateAccount();
    if (phase_ != Phase::Idle) {
        return;
    }
    isWaitingForDrain_ = socket_->unsentBytes() > MaxUnsentBeforeNextRequest;
    socket_->setReading(!isWaitingForDrain_);
    const bool holdsLargeHead = reader_ && reader_->heldBytes() > KeptHeadBytes;
    if (isWaitingForDrain_ || (pipelinedBytes_.empty() && !holdsLargeHead)) {
        return;
    }
    readNextRequest();
}

// NOTE Posted to the loop: a handler that answers at once would otherwise recurse once per pipelined request, and it may still look at the head.
void ServerConnection::readNextRequest()
{
    server_->loop->post([weak = weak_from_this()] {
        const auto connection = weak.lock();
        if (!connection || connection->phase_ != Phase::Idle) {
            return;
        }
        connection->reader_.reset();
        if (!connection->pipelinedBytes_.empty()) {
            connection->readRequest(std::exchange(connection->pipelinedBytes_, {}));
            return;
        }
        connection->updateAccount();
    });
}

void ServerConnection::onDrained()
{
    updateAccount();
    if (phase_ != Phase::Idle || !std::exchange(isWaitingForDrain_, false)) {
        return;
    }
    socket_->setReading(true);
    readNextRequest();
}

void ServerConnection::startLingering()
{
    phase_ = Phase::Lingering;
    lastReceivedAt_ = server_->loop->now();
    startedAt_ = lastReceivedAt_;
    pipelinedBytes_.clear();
    pipelinedBytes_.shrink_to_fit();
    socket_->shutdownAfterWrite();
    socket_->setReading(true);
    if (account_) {
        account_->trySetDescriptors(1);
    }
    updateAccount();
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
    pipelinedBytes_.clear();
    pipelinedBytes_.shrink_to_fit();
    socket_->close();
    account_.reset();
    server_->removeConnection(this);
}

void ServerConnection::releaseRequest()
{
    if (phase_ == Phase::Reading || phase_ == Phase::Answering) {
        server_->openExchanges--;
    }
    handlerBytes_ = 0;
    body_.clear();
    body_.shrink_to_fit();
    onDisconnected_ = nullptr;
}

bool ServerConnection::hasUnsentResponse() const
{
    return socket_->unsentBytes() > 0;
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
