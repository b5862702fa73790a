#include "peers/localtransport.h"

namespace cardamomlift::peers {

namespace {

/// The reply of a call, which is called once: by the answer or by the timeout, whichever comes first.
struct PendingReply {
    Reply reply;
    TimerId timer = 0;
};

} // namespace

LocalTransport::LocalTransport(EventLoop &loop)
    : loop_(loop)
{
}

std::shared_ptr<LocalTransport> LocalTransport::create(EventLoop &loop, std::shared_ptr<LocalNetwork> network, std::string instance)
{
    std::shared_ptr<LocalTransport> transport(new LocalTransport(loop));
    transport->network_ = std::move(network);
    transport->instance_ = std::move(instance);
    transport->network_->transports[transport->instance_] = transport.get();
    return transport;
}

LocalTransport::~LocalTransport()
{
    const auto found = network_->transports.find(instance_);
    if (found != network_->transports.end() && found->second == this) {
        network_->transports.erase(found);
    }
}

void LocalTransport::send(const PeerAddress &peer, std::string topic, std::string payload, Duration timeout, Reply reply)
{
    counters_.callsSent++;
    counters_.bytesSent += payload.size();
    auto pending = std::make_shared<PendingReply>();
    pending->reply = std::move(reply);
    const auto settle = [this, pending](Result<std::string> result) {
        if (!pending->reply) {
            return;
        }
        counters_.bytesReceived += result ? result.value().size() : 0;
        loop_.cancel(pending->timer);
        auto once = std::move(pending->reply);
        pending->reply = nullptr;
        once(std::move(result));
    };
    pending->timer = loop_.after(timeout, [this, settle] {
        counters_.callsFailed++;
        settle(failure(ErrorKind::Unavailable, "the peer did not answer"));
    });
    loop_.post([network = network_, from = instance_, to = peer.instance, topic = std::move(topic), payload = std::move(payload), settle] {
        const auto target = network->transports.find(to);
        if (target == network->transports.end() || network->blockedLinks.contains({from, to})) {
            return;
        }
        target->second->deliver(from, topic, payload, [network, from, to, settle](Result<std::string> result) {
            if (!network->blockedLinks.contains({to, from})) {
                settle(std::move(result));
            }
        });
    });
}

void LocalTransport::deliver(const std::string &from, const std::string &topic, std::string payload, Reply reply)
{
    counters_.callsReceived++;
    counters_.bytesReceived += payload.size();
    const auto handler = handlers_.find(topic);
    if (handler == handlers_.end()) {
        reply(failure(ErrorKind::Denied, "unknown topic"));
        return;
    }
    handler->second(from, std::move(payload), [this, reply = std::move(reply)](Result<std::string> result) {
        counters_.bytesSent += result ? result.value().size() : 0;
        reply(std::move(result));
    });
}

void LocalTransport::handle(std::string topic, TopicHandler handler)
{
    handlers_[std::move(topic)] = std::move(handler);
}

const PeerCounters &LocalTransport::counters() const
{
    return counters_;
}

std::uint16_t LocalTransport::port() const
{
    return 1;
}

} // namespace cardamomlift::peers
