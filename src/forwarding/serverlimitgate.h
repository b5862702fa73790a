#pragma once

#include "forwarding/wireformat.h"
#include "kernel/clock.h"

#include <optional>
#include <string>

namespace cardamomlift::forwarding {

/// Keeps the limits that backend servers name on the requests of all entry VMs together.
class ServerLimitGate
{
public:
    virtual ~ServerLimitGate() = default;
    /// Whether the server may get a request from this VM now. One without a limit always may.
    virtual bool hasRoom(const std::string &instance) = 0;
    /// A request goes to the server. Each send is counted, whatever it is for.
    virtual void noteSent(const std::string &instance) = 0;
    /// The server has answered a request that was sent to it at @p sentAt.
    virtual void noteAnswer(const std::string &instance, const AdvertisedLimit &statement, TimePoint sentAt) = 0;
    /// Requests a second that the server takes from all VMs; empty: it has named no limit.
    virtual std::optional<double> requestsPerSecond(const std::string &instance) const = 0;
    /// Requests a second that this VM may send to the server; 0 if it has named no limit.
    virtual double ownRequestsPerSecond(const std::string &instance) const = 0;
};

} // namespace cardamomlift::forwarding
