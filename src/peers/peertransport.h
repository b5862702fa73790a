#pragma once

#include "kernel/clock.h"
#include "kernel/result.h"

#include <cstdint>
#include <functional>
#include <string>

namespace cardamomlift::peers {

/// Where another entry VM listens for its peers. A VM is identified by its instance; its address may be reused by another.
struct PeerAddress {
    std::string instance;
    std::string address; ///< An IPv4 address, not a host name.
    std::uint16_t port = 0;
};

/// Delivers the result of one call. Called once, on the event loop's thread, unless the transport is stopped before.
using Reply = std::function<void(Result<std::string> payload)>;
/// Handles the calls of one topic. @p payload is the serialised message that the module owning the topic defines.
using TopicHandler = std::function<void(std::string fromInstance, std::string payload, Reply reply)>;

/// Counts the calls between entry VMs and their payload bytes, without framing. Used for docs/CAPACITY.md.
struct PeerCounters {
    std::uint64_t callsSent = 0;
    std::uint64_t callsReceived = 0;
    std::uint64_t bytesSent = 0;
    std::uint64_t bytesReceived = 0;
    std::uint64_t callsFailed = 0;
};

/// Remote procedure calls between entry VMs. Handlers and replies run on the event loop's thread, never from inside send().
class PeerTransport
{
public:
    virtual ~PeerTransport() = default;
    /// Calls @p peer. Fails as Unavailable if there was no answer or the peer refused the token, and as Denied if the peer is
    /// another instance, has no handler for @p topic, or its handler returned an error.
    virtual void send(const PeerAddress &peer, std::string topic, std::string payload, Duration timeout, Reply reply) = 0;
    /// Sets the handler of @p topic. Each topic has one handler; a later call replaces it.
    virtual void handle(std::string topic, TopicHandler handler) = 0;
    virtual const PeerCounters &counters() const = 0;
    /// The port on which the transport listens.
    virtual std::uint16_t port() const = 0;
};

} // namespace cardamomlift::peers
