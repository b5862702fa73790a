#include "exchange.h"

#include "serverimpl.h"

#include <charconv>
#include <cstring>
#include <sys/socket.h>

namespace cardamomlift::http {

namespace {

constexpr std::size_t StreamBlockBytes = 4096;
/// A body without announced length is read up to so many times the limit, so that its sender sees the refusal.
constexpr std::size_t TolerancePastBodyLimit = 4;
/// Handlers keep a body while they serve it, as received, as parsed, for the server and for another try.
constexpr std::size_t CopiesOfBody = 4;

/// Memory of a map of texts: of each entry its texts and its node.
template<class Map>
std::size_t memoryOf(const Map &texts)
{
    constexpr std::size_t NodeBytes = sizeof(typename Map::value_type) + 4 * sizeof(void *);
    std::size_t bytes = 0;
    for (const auto &[name, value] : texts) {
        bytes += NodeBytes + name.capacity() + value.capacity();
    }
    return bytes;
}

} // namespace

Exchange::Exchange(Server::Impl *server, MHD_Connection *connection)
    : server_(server)
    , connection_(connection)
{
    server_->openRequests++;
    server_->exchanges.insert(this);
}

void Exchange::respond(Response response)
{
    if (ended_ || hasHead_) {
        return;
    }
    hasHead_ = true;
    finished_ = true;
    head_ = std::move(response);
    updateAccount();
    wakeUp();
}

void Exchange::startStream(int status, Headers headers)
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

void Exchange::write(std::string_view bytes)
{
    if (ended_ || !streaming_ || finished_) {
        return;
    }
    pending_.append(bytes);
    updateAccount();
    wakeUp();
}

void Exchange::finish()
{
    finished_ = true;
    wakeUp();
}

void Exchange::abort()
{
    aborted_ = true;
    finished_ = true;
    hasHead_ = true;
    wakeUp();
}

bool Exchange::isClosed() const
{
    return ended_;
}

bool Exchange::isStreaming() const
{
    return streaming_;
}

std::size_t Exchange::bufferedBytes() const
{
    return pending_.size() - taken_;
}

void Exchange::onClosed(std::function<void()> handler)
{
    closedHandler_ = std::move(handler);
}

bool Exchange::takeBody(std::string_view bytes)
{
    const std::size_t most = server_->options.maxBodyBytes;
    bodyBytes_ += bytes.size();
    if (givenUp_) {
        return false;
    }
    if (bodyBytes_ <= most) {
        request.body.append(bytes);
        updateAccount();
        return !givenUp_;
    }
    bodyTooLarge = true;
    dropBody();
    return bodyBytes_ <= most * TolerancePastBodyLimit;
}

void Exchange::dropBody()
{
    request.body.clear();
    request.body.shrink_to_fit();
}

void Exchange::giveUp()
{
    givenUp_ = true;
    if (!handled) {
        dropBody();
        return;
    }
    // NOTE The handler may be at work on this request now.
    server_->loop->post([weak = weak_from_this()] {
        if (const auto exchange = weak.lock()) {
            exchange->abort();
        }
    });
}

void Exchange::updateAccount()
{
    using clientbudget::Activity;
    if (ended_) {
        return;
    }
    if (!handled) {
        headerBytes_ = headerBytes_ == 0 ? memoryOf(request.headers) + memoryOf(request.query) : headerBytes_;
        server_->updateAccount(connection_, Activity::Receiving, headerBytes_ + request.body.capacity());
        return;
    }
    const bool isSending = finished_ || bufferedBytes() > 0;
    const std::size_t requestBytes = headerBytes_ + bodyBytes_ * CopiesOfBody;
    const std::size_t answerBytes = pending_.capacity() + head_.body.capacity();
    server_->updateAccount(connection_, isSending ? Activity::Sending : Activity::Serving, (isSending ? headerBytes_ : requestBytes) + answerBytes);
}

bool Exchange::announcesTooLarge() const
{
    const std::string_view length = headerValue(request.headers, "Content-Length");
    std::size_t bytes = 0;
    std::from_chars(length.data(), length.data() + length.size(), bytes);
    return bytes > server_->options.maxBodyBytes;
}

bool Exchange::hasHead() const
{
    return hasHead_;
}

MHD_Result Exchange::queueHead()
{
    if (aborted_ && !streaming_) {
        return MHD_NO;
    }
    MHD_Response *response = nullptr;
    if (streaming_) {
        response = MHD_create_response_from_callback(MHD_SIZE_UNKNOWN, StreamBlockBytes, &Exchange::readMore, this, nullptr);
    } else {
        response = MHD_create_response_from_buffer(head_.body.size(), head_.body.data(), MHD_RESPMEM_PERSISTENT);
    }
    for (const auto &[name, value] : head_.headers) {
        MHD_add_response_header(response, name.c_str(), value.c_str());
    }
    const MHD_Result queued = MHD_queue_response(connection_, static_cast<unsigned>(head_.status), response);
    MHD_destroy_response(response);
    return queued;
}

void Exchange::suspend()
{
    if (suspended_ || ended_) {
        return;
    }
    suspended_ = true;
    MHD_suspend_connection(connection_);
    watchSocket();
}

void Exchange::end(bool whole)
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

void Exchange::resumeForShutdown()
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

ssize_t Exchange::readMore(void *context, std::uint64_t, char *buffer, std::size_t capacity)
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
        exchange->pending_.shrink_to_fit();
        exchange->taken_ = 0;
        exchange->updateAccount();
    }
    return static_cast<ssize_t>(size);
}

void Exchange::wakeUp()
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
void Exchange::watchSocket()
{
    const MHD_ConnectionInfo *info = MHD_get_connection_info(connection_, MHD_CONNECTION_INFO_CONNECTION_FD);
    if (!info || watching_) {
        return;
    }
    socketWatcher_.data = this;
    ev_io_init(
        &socketWatcher_, [](struct ev_loop *, ev_io *watcher, int) { static_cast<Exchange *>(watcher->data)->socketReadable(); }, info->connect_fd, EV_READ);
    ev_io_start(server_->loop->raw(), &socketWatcher_);
    watching_ = true;
}

void Exchange::stopWatching()
{
    if (watching_) {
        ev_io_stop(server_->loop->raw(), &socketWatcher_);
        watching_ = false;
    }
}

void Exchange::socketReadable()
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

} // namespace cardamomlift::http
