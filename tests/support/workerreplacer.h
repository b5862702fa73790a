#pragma once

#include "support/routefleet.h"

#include <string>
#include <utility>
#include <vector>

namespace cardamomlift::test {

/// Replaces the workers of a deployment whose processes have ended. A crashed worker is back after some time as another instance; the
/// entry of the ended one is removed after three heartbeats of silence.
class WorkerReplacer
{
public:
    /// A worker that has ended by itself.
    struct Ended {
        std::string instance;
        int exitCode = 0;
    };

    /// What has changed since the last call.
    struct Changes {
        std::vector<Ended> ended;
        std::vector<std::string> started; ///< Instances.
    };

    /// @p replacedAfter: how long it takes until a crashed worker is back.
    WorkerReplacer(RouteFleet &fleet, milliseconds replacedAfter);
    /// Starts workers and removes entries that are due.
    Changes update(TimePoint now);

private:
    RouteFleet &fleet_;
    milliseconds replacedAfter_;
    std::vector<TimePoint> replacements_; ///< When workers come back.
    std::vector<std::pair<TimePoint, std::string>> unlistings_; ///< When entries are removed.
    int replaced_ = 0;
};

} // namespace cardamomlift::test
