#pragma once

#include "kernel/clock.h"
#include "kernel/result.h"

#include <cstdint>
#include <functional>
#include <string>

namespace cardamomlift::peers {

/// Where another entry VM listens for its peers. The instance is its identity, the address is not.
struct PeerAddress {
    std::string instance;
    std::string address; ///< An IPv4 number.
    std::uint16_t port = 0;
};

/// Gives the answer of one call. Called once, on the loop's thread.
using Reply = std::function<void(Result<std::string> payload)>;
/// Answers calls of one topic. @p payload is the serialised message the topic's module defines.
using TopicHandler = std::function<void(std::string fromInstance, std::string payload, Reply reply)>;

/// Bytes and calls between entry VMs, for docs/CAPACITY.md. Payload bytes, without framing.
struct PeerCounters {
    std::uint64_t callsSent = 0;
    std::uint64_t callsReceived = 0;
    std::uint64_t bytesSent = 0;
    std::uint64_t bytesReceived = 0;
    std::uint64_t failed = 0;
};

/// Calls between entry VMs. Handlers run on the loop's thread, never from inside the call.
class PeerTransport
{
public:
    virtual ~PeerTransport() = default;
    /// Calls @p peer. The error kinds: Unavailable (no answer), Denied (refused: wrong instance or token).
    virtual void send(const PeerAddress &peer, std::string topic, std::string payload, Duration timeout, Reply reply) = 0;
    /// Sets the handler of a topic; one a topic.
    virtual void handle(std::string topic, TopicHandler handler) = 0;
    virtual const PeerCounters &counters() const = 0;
    /// The bound port.
    virtual std::uint16_t port() const = 0;
};

} // namespace cardamomlift::peers
