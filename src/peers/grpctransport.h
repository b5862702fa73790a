#pragma once

#include "kernel/eventloop.h"
#include "peers/peertransport.h"

#include <functional>
#include <memory>
#include <string_view>

namespace cardamomlift::peers {

/// Settings of the transport between entry VMs.
struct GrpcOptions {
    std::string instance;
    std::string address = "127.0.0.1";
    std::uint16_t port = 0;
    std::string token; ///< Shared secret; calls without it are refused.
    std::string certificatePem; ///< With privateKeyPem: TLS, and peers must show a certificate of the same authority.
    std::string privateKeyPem;
    std::string authorityPem;
    /// Called on the loop for each call that ended, with the payload bytes both ways. May be empty.
    std::function<void(std::string_view topic, std::size_t bytes)> onCallEnded;
};

/// Peer calls over gRPC. gRPC works on threads of its own, which only pass messages to the loop.
///
/// Must be stopped before its loop ends: gRPC's threads go on while others still own the transport.
class GrpcTransport : public PeerTransport
{
public:
    static Result<std::shared_ptr<GrpcTransport>> create(EventLoop &loop, GrpcOptions options);
    /// Stops it.
    ~GrpcTransport() override;

    /// Refuses what peers ask, cancels what was asked of them, and calls no handler and no reply from here on.
    void stop();
    void send(const PeerAddress &peer, std::string topic, std::string payload, Duration timeout, Reply reply) override;
    void handle(std::string topic, TopicHandler handler) override;
    const PeerCounters &counters() const override;
    std::uint16_t port() const override;

    struct Impl;

private:
    GrpcTransport() = default;
    std::shared_ptr<Impl> impl_;
    bool stopped_ = false;
};

} // namespace cardamomlift::peers
