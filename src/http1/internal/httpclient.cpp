#include "http1/httpclient.h"

namespace cardamomlift::http1 {

struct HttpClient::Call {
    std::shared_ptr<BackendChannel> channel;
    CallResult result;
    TimerId timer = 0;
    std::function<void(CallResult)> handler;
};

HttpClient::HttpClient(EventLoop &loop, Endpoint server, const SocketOptions &options, const ReadLimits &limits)
    : loop_(loop)
    , server_(std::move(server))
    , options_(options)
    , limits_(limits)
{
}

std::shared_ptr<HttpClient> HttpClient::create(EventLoop &loop, Endpoint server, const SocketOptions &options, const ReadLimits &limits)
{
    return std::shared_ptr<HttpClient>(new HttpClient(loop, std::move(server), options, limits));
}

std::shared_ptr<BackendChannel> HttpClient::idleChannel()
{
    while (!idleChannels_.empty()) {
        auto channel = std::move(idleChannels_.back());
        idleChannels_.pop_back();
        if (channel->isReusable()) {
            return channel;
        }
    }
    return BackendChannel::connect(loop_, server_, options_, limits_);
}

void HttpClient::call(RequestHead head, std::string body, Duration timeout, std::function<void(CallResult result)> handler)
{
    calls_++;
    auto call = std::make_shared<Call>();
    call->handler = std::move(handler);
    call->channel = idleChannel();
    call->result.sentAt = loop_.now();
    head.fields.set("Host", formatEndpoint(server_));
    // NOTE The timer keeps the call and the client alive until the call ends, so a client may be released with calls in progress.
    call->timer = loop_.after(timeout, [self = shared_from_this(), call] {
        self->idleChannels_.clear();
        self->finish(call, false, true);
    });
    CallHandlers handlers;
    handlers.accepts = [](const ResponseHead &) {
        return true;
    };
    handlers.onHead = [call](ResponseHead answer) {
        call->result.response.head = std::move(answer);
    };
    handlers.onBody = [call](std::string_view part) {
        call->result.response.body += part;
    };
    handlers.onComplete = [weak = weak_from_this(), call] {
        if (const auto self = weak.lock()) {
            self->finish(call, true, true);
        }
    };
    handlers.onFailure = [weak = weak_from_this(), call](CallFailure failure) {
        if (const auto self = weak.lock()) {
            self->finish(call, false, failure == CallFailure::Broken);
        }
    };
    const std::string bytes = encodeHead(head, body.size()) + body;
    call->channel->call(bytes, head.method == "HEAD", std::move(handlers));
}

void HttpClient::finish(const std::shared_ptr<Call> &call, bool answered, bool mayHaveArrived)
{
    const auto self = shared_from_this();
    loop_.cancel(call->timer);
    const auto channel = std::move(call->channel);
    if (answered) {
        returnToPool(channel);
    } else {
        channel->close();
    }
    // Destroyed by the loop later, as this function is called from a callback of the channel.
    loop_.post([channel] {});
    call->result.isAnswered = answered;
    call->result.mayHaveArrived = mayHaveArrived;
    call->handler(std::move(call->result));
}

void HttpClient::returnToPool(const std::shared_ptr<BackendChannel> &channel)
{
    if (channel->isReusable()) {
        idleChannels_.push_back(channel);
    }
}

std::uint64_t HttpClient::calls() const
{
    return calls_;
}

} // namespace cardamomlift::http1
