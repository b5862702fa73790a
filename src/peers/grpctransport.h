#pragma once

#include "clientbudget/clientbudget.h"
#include "kernel/eventloop.h"
#include "peers/peertransport.h"

#include <functional>
#include <memory>
#include <string_view>

namespace cardamomlift::peers {

/// Options of a GrpcTransport.
struct GrpcOptions {
    std::string instance;
    std::string address = "127.0.0.1";
    std::uint16_t port = 0;
    std::string token; ///< Shared secret; calls without it are refused.
    std::string certificatePem; ///< If set, calls use TLS and peers must present a certificate signed by the same authority.
    std::string privateKeyPem;
    std::string authorityPem;
    std::shared_ptr<clientbudget::ClientBudget> budget; ///< Of all clients of the process; null: the number of connections has no bound.
    /// Called on the event loop's thread when an outgoing call has ended, with its payload bytes in both directions. May
    /// be empty.
    std::function<void(std::string_view topic, std::size_t bytes)> onCallEnded;
};

/// Peer calls over gRPC. gRPC runs its callbacks on its own threads, which only post messages to the event loop.
///
/// Must be stopped before its event loop is destroyed: gRPC's threads keep running as long as anyone owns the transport.
class GrpcTransport : public PeerTransport
{
public:
    static Result<std::shared_ptr<GrpcTransport>> create(EventLoop &loop, GrpcOptions options);
    /// Calls stop().
    ~GrpcTransport() override;

    /// Refuses incoming calls and cancels outgoing ones. From then on no handler and no reply is called.
    void stop();
    void send(const PeerAddress &peer, std::string topic, std::string payload, Duration timeout, Reply reply) override;
    void handle(std::string topic, TopicHandler handler) override;
    const PeerCounters &counters() const override;
    std::uint16_t port() const override;

    struct Impl;

private:
    GrpcTransport() = default;
    std::shared_ptr<Impl> impl_;
    bool isStopped_ = false;
};

} // namespace cardamomlift::peers
