#pragma once

#include "directory/directorytypes.h"

#include <optional>
#include <string>
#include <string_view>

namespace cardamomlift::forwarding {

/// Which of a service's servers a request is meant for.
enum class VersionPick {
    Usual,
    OnTrial, ///< It is one of the few by which a new version is tried.
};

/// Whether a server may get a request.
enum class Eligibility {
    Preferred,
    Fallback, ///< Where no preferred one is left.
    None,
};

/// Says which versions of a service's servers may get requests, and hears what these came to.
class VersionGate
{
public:
    virtual ~VersionGate() = default;
    /// Counts a request to @p service. Asked once for each.
    virtual VersionPick pick(const std::string &service, const std::string &route) = 0;
    /// A request that was picked for a trial finds no server there.
    virtual void cancelTrial(const std::string &service, const std::string &route) = 0;
    virtual Eligibility eligibility(const directory::BackendServer &server, VersionPick pick) = 0;
    /// Servers of two versions run side by side until an order to change the version is carried out.
    virtual bool isRolloutInProgress(std::string_view service) const = 0;
    /// Whether a server's version gets requests as all others do.
    virtual bool servesRegularTraffic(const directory::BackendServer &server) = 0;
    virtual void noteSent(const directory::BackendServer &server) = 0;
    /// A send is over, whatever it came to.
    virtual void noteEnded(const directory::BackendServer &server) = 0;
    /// @p firstByteAfter: from the send on; empty: it failed.
    virtual void noteOutcome(const directory::BackendServer &server, const std::string &route, std::optional<Duration> firstByteAfter) = 0;
};

} // namespace cardamomlift::forwarding
