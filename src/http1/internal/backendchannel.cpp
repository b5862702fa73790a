#include "http1/backendchannel.h"

#include <utility>

namespace cardamomlift::http1 {

namespace {

/// Subtracted from the server's keep-alive timeout, as the server counts from sending the response and we from reading it.
constexpr Duration KeepAliveMargin = std::chrono::milliseconds(500);
constexpr std::string_view KeepAliveTimeoutParameter = "timeout=";
constexpr int FirstFinalStatus = 200;
/// Responses dropped during one call: interim ones, and those that come late for earlier calls.
constexpr int MaxDiscarded = 16;

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
        raw->onConnected();
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
    headReceived_ = false;
    discarding_ = false;
    discarded_ = 0;
    handlers_ = std::move(handlers);
    reader_ = ResponseReader::create(limits_, isHead);
    if (connected_) {
        socket_->write(request);
    } else {
        waitingRequest_ = request;
    }
}

void BackendChannel::onConnected()
{
    const auto self = shared_from_this();
    connected_ = true;
    if (!calling_) {
        return;
    }
    if (handlers_.mayStillSend && !handlers_.mayStillSend()) {
        fail(CallFailure::Withdrawn);
        return;
    }
    socket_->write(std::exchange(waitingRequest_, {}));
}

bool BackendChannel::isReusable() const
{
    return !closed_ && !calling_ && !notReusable_ && socket_->isOpen() && loop_.now() < reusableUntil_;
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
    onIdleClosed_ = std::move(handler);
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
        notReusable_ = true;
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
            notReusable_ = true;
            fail(CallFailure::Broken);
            return;
        }
        if (!headReceived_ && reader_->isHeadComplete()) {
            onHeadReceived();
        }
        if (closed_ || !calling_) {
            return;
        }
        deliverBody();
        if (closed_ || !calling_ || !reader_->isComplete()) {
            return;
        }
        if (discarding_) {
            if (++discarded_ > MaxDiscarded) {
                notReusable_ = true;
                fail(CallFailure::Broken);
                return;
            }
            reader_ = ResponseReader::create(limits_, isHead_);
            headReceived_ = false;
            discarding_ = false;
            continue;
        }
        notReusable_ = notReusable_ || !bytes.empty();
        complete();
        return;
    }
}

void BackendChannel::onHeadReceived()
{
    headReceived_ = true;
    discarding_ = reader_->head().status < FirstFinalStatus || !handlers_.accepts(reader_->head());
    readKeepAliveTimeout();
    if (!discarding_) {
        handlers_.onHead(std::move(reader_->head()));
    }
}

void BackendChannel::deliverBody()
{
    const std::string part = reader_->takeBody();
    if (!part.empty() && !discarding_) {
        handlers_.onBody(part);
    }
}

void BackendChannel::readKeepAliveTimeout()
{
    const std::string_view value = reader_->head().fields.get("Keep-Alive");
    const auto position = value.find(KeepAliveTimeoutParameter);
    if (position == std::string_view::npos) {
        return;
    }
    const std::string_view digits = value.substr(position + KeepAliveTimeoutParameter.size());
    const auto seconds = parseNumber(digits.substr(0, digits.find_first_not_of("0123456789")));
    if (seconds) {
        reusableUntil_ = loop_.now() + std::chrono::seconds(*seconds) - KeepAliveMargin;
    }
}

void BackendChannel::complete()
{
    // If the response came before the whole request was sent, the server still expects the rest of the request.
    notReusable_ = notReusable_ || socket_->unsentBytes() > 0 || !reader_->keepsAlive();
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
        if (const auto handler = std::exchange(onIdleClosed_, nullptr)) {
            handler();
        }
        return;
    }
    if (!connected_) {
        fail(CallFailure::NotConnected);
        return;
    }
    if (end == SocketEnd::Closed && headReceived_ && !discarding_) {
        reader_->finish();
        if (reader_->isComplete()) {
            notReusable_ = true;
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
