#pragma once

#include "kernel/eventloop.h"
#include "peers/peertransport.h"

#include <map>
#include <memory>
#include <set>
#include <unordered_map>
#include <utility>

namespace cardamomlift::peers {

class LocalTransport;

/// Connects the LocalTransports of one process. A fake of the network between entry VMs, for tests.
struct LocalNetwork {
    std::map<std::string, LocalTransport *> transports; ///< By instance.
    std::set<std::pair<std::string, std::string>> blockedLinks; ///< (from, to): messages in this direction are lost.
};

/// Peer calls within one process, over a LocalNetwork. Messages are delivered through the event loop's queue. A call whose
/// message is lost fails as Unavailable after its timeout, by the loop's clock.
class LocalTransport : public PeerTransport
{
public:
    static std::shared_ptr<LocalTransport> create(EventLoop &loop, std::shared_ptr<LocalNetwork> network, std::string instance);
    ~LocalTransport() override;

    void send(const PeerAddress &peer, std::string topic, std::string payload, Duration timeout, Reply reply) override;
    void handle(std::string topic, TopicHandler handler) override;
    const PeerCounters &counters() const override;
    std::uint16_t port() const override;

private:
    explicit LocalTransport(EventLoop &loop);
    void deliver(const std::string &from, const std::string &topic, std::string payload, Reply reply);
    EventLoop &loop_;
    std::shared_ptr<LocalNetwork> network_;
    std::string instance_;
    std::unordered_map<std::string, TopicHandler> handlers_;
    PeerCounters counters_;
};

} // namespace cardamomlift::peers
