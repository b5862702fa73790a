#include "http1/backendchannel.h"

#include <utility>

namespace cardamomlift::http1 {

namespace {

/// A server's idle time is cut by this, since its clock starts when it sends and ours when we read.
constexpr Duration KeepAliveMargin = std::chrono::milliseconds(500);
constexpr std::string_view KeepAliveTimeout = "timeout=";
constexpr int FirstFinalStatus = 200;

} // namespace

BackendChannel::BackendChannel(EventLoop &loop, const ReadLimits &limits)
    : loop_(loop)
    , limits_(limits)
{
}

std::shared_ptr<BackendChannel> BackendChannel::connect(EventLoop &loop, const Endpoint &to, const SocketOptions &options, const ReadLimits &limits)
{
    std::shared_ptr<BackendChannel> channel(new BackendChannel(loop, limits));
    BackendChannel *raw = channel.get();
    SocketHandlers handlers;
    handlers.onConnected = [raw] {
        raw->connected_ = true;
    };
    handlers.onData = [raw](std::string_view bytes) {
        raw->onData(bytes);
    };
    handlers.onEnd = [raw](SocketEnd end) {
        raw->onSocketEnd(end);
    };
    channel->socket_ = Socket::connect(loop, to, options, std::move(handlers));
    return channel;
}

BackendChannel::~BackendChannel()
{
    socket_->close();
}

void BackendChannel::call(std::string_view request, bool isHead, CallHandlers handlers)
{
    calling_ = true;
    isHead_ = isHead;
    headSeen_ = false;
    foreign_ = false;
    handlers_ = std::move(handlers);
    reader_ = ResponseReader::create(limits_, isHead);
    socket_->write(request);
}

bool BackendChannel::isReusable() const
{
    return !closed_ && !calling_ && !spoiled_ && socket_->isOpen() && loop_.now() < reusableUntil_;
}

bool BackendChannel::isConnected() const
{
    return connected_;
}

TimePoint BackendChannel::reusableUntil() const
{
    return reusableUntil_;
}

void BackendChannel::onIdleClosed(std::function<void()> handler)
{
    idleEnd_ = std::move(handler);
}

void BackendChannel::close()
{
    closed_ = true;
    calling_ = false;
    socket_->close();
}

void BackendChannel::onData(std::string_view bytes)
{
    const auto self = shared_from_this();
    if (!calling_) {
        spoiled_ = true;
        onSocketEnd(SocketEnd::Reset);
        return;
    }
    readResponse(bytes);
}

void BackendChannel::readResponse(std::string_view bytes)
{
    while (!bytes.empty() && calling_) {
        bytes.remove_prefix(reader_->feed(bytes));
        if (reader_->error() != ReadError::None) {
            spoiled_ = true;
            fail(CallFailure::Broken);
            return;
        }
        if (!headSeen_ && reader_->isHeadComplete()) {
            onHeadRead();
        }
        if (closed_ || !calling_) {
            return;
        }
        passBody();
        if (closed_ || !calling_ || !reader_->isComplete()) {
            return;
        }
        if (foreign_) {
            reader_ = ResponseReader::create(limits_, isHead_);
            headSeen_ = false;
            foreign_ = false;
            continue;
        }
        spoiled_ = spoiled_ || !bytes.empty();
        complete();
        return;
    }
}

void BackendChannel::onHeadRead()
{
    headSeen_ = true;
    foreign_ = reader_->head().status < FirstFinalStatus || !handlers_.accepts(reader_->head());
    noteKeepAlive();
    if (!foreign_) {
        handlers_.onHead(std::move(reader_->head()));
    }
}

void BackendChannel::passBody()
{
    const std::string part = reader_->takeBody();
    if (!part.empty() && !foreign_) {
        handlers_.onBody(part);
    }
}

void BackendChannel::noteKeepAlive()
{
    const std::string_view value = reader_->head().fields.get("Keep-Alive");
    const auto place = value.find(KeepAliveTimeout);
    if (place == std::string_view::npos) {
        return;
    }
    const std::string_view digits = value.substr(place + KeepAliveTimeout.size());
    const auto seconds = parseNumber(digits.substr(0, digits.find_first_not_of("0123456789")));
    if (seconds) {
        reusableUntil_ = loop_.now() + std::chrono::seconds(*seconds) - KeepAliveMargin;
    }
}

void BackendChannel::complete()
{
    // An answer that came before the whole request had left: the server still expects the rest of it.
    spoiled_ = spoiled_ || socket_->unsentBytes() > 0 || !reader_->keepsAlive();
    calling_ = false;
    const CallHandlers handlers = std::move(handlers_);
    handlers.onComplete();
}

void BackendChannel::onSocketEnd(SocketEnd end)
{
    const auto self = shared_from_this();
    if (closed_) {
        return;
    }
    if (!calling_) {
        close();
        if (const auto idleEnd = std::exchange(idleEnd_, nullptr)) {
            idleEnd();
        }
        return;
    }
    if (!connected_) {
        fail(CallFailure::NotConnected);
        return;
    }
    if (end == SocketEnd::Closed && headSeen_ && !foreign_) {
        reader_->finish();
        if (reader_->isComplete()) {
            spoiled_ = true;
            complete();
            return;
        }
    }
    fail(socket_->hasSent() ? CallFailure::Broken : CallFailure::NotSent);
}

void BackendChannel::fail(CallFailure failure)
{
    close();
    const CallHandlers handlers = std::move(handlers_);
    handlers.onFailure(failure);
}

} // namespace cardamomlift::http1
