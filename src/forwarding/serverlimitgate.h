#pragma once

#include "forwarding/wireformat.h"
#include "kernel/clock.h"

#include <optional>
#include <string>

namespace cardamomlift::forwarding {

/// Enforces the rate limits that backend servers advertise. A limit holds for the requests of all entry VMs together.
class ServerLimitGate
{
public:
    virtual ~ServerLimitGate() = default;
    /// True if this VM may send a request to the server now; always true for a server without a limit.
    virtual bool hasRoom(const std::string &instance) = 0;
    /// Counts a request sent to the server; first attempts, retries and moved runs all count.
    virtual void noteSent(const std::string &instance) = 0;
    /// Takes in the limit that the server advertised, or not, in its answer to a request sent at @p sentAt.
    virtual void noteAnswer(const std::string &instance, const AdvertisedLimit &limit, TimePoint sentAt) = 0;
    /// Requests per second that the server accepts from all VMs together; empty if it advertises no limit.
    virtual std::optional<double> requestsPerSecond(const std::string &instance) const = 0;
    /// This VM's share of the server's limit, in requests per second; 0 if the server advertises no limit.
    virtual double ownRequestsPerSecond(const std::string &instance) const = 0;
};

} // namespace cardamomlift::forwarding
