#pragma once

#include "directory/directorytypes.h"

#include <optional>
#include <string>
#include <string_view>

namespace cardamomlift::forwarding {

/// Which servers of a service a request is meant for.
enum class VersionPick {
    Usual, ///< Servers of versions in regular use.
    OnTrial, ///< Servers of a new version on trial, which gets a small share of the requests.
};

/// Whether a server may receive a request.
enum class Eligibility {
    Preferred,
    Fallback, ///< Only if no preferred server is left.
    None,
};

/// Decides which versions of a service's servers receive which requests, and records the outcomes by version.
class VersionGate
{
public:
    virtual ~VersionGate() = default;
    /// Counts a request to @p service and assigns it to the usual servers or to the trial. Called once per request.
    virtual VersionPick pick(const std::string &service, const std::string &route) = 0;
    /// Undoes the assignment of a request to the trial for which no server on trial was available.
    virtual void cancelTrial(const std::string &service, const std::string &route) = 0;
    virtual Eligibility eligibility(const directory::BackendServer &server, VersionPick pick) = 0;
    /// True while servers of two versions may run side by side: from the order to change the version to its completion.
    virtual bool isRolloutInProgress(std::string_view service) const = 0;
    /// True if a server's version receives regular requests, not just a trial's.
    virtual bool servesRegularTraffic(const directory::BackendServer &server) = 0;
    virtual void noteSent(const directory::BackendServer &server) = 0;
    /// A request to the server has ended, whatever its outcome.
    virtual void noteEnded(const directory::BackendServer &server) = 0;
    /// @p timeToFirstByte: measured from the send; empty if the request failed.
    virtual void noteOutcome(const directory::BackendServer &server, const std::string &route, std::optional<Duration> timeToFirstByte) = 0;
};

} // namespace cardamomlift::forwarding
