#pragma once

#include "support/routefleet.h"

#include <map>
#include <span>
#include <string>
#include <vector>

namespace cardamomlift::test {

/// A caller's request: which entry VM it was sent to, when, and its call.
struct SentRequest {
    int entry = 0;
    TimePoint at;
    TestCallPtr call;
};

/// A time in which an entry VM was restarted or suspended, or connections to a worker were cut. What servers told before it, or in it,
/// may not be known.
struct Disturbance {
    int entry = 0; ///< 0: all.
    std::string worker; ///< Empty: all.
    TimePoint from;
    TimePoint until;
};

/// The bounds on what servers get from an entry VM after they have told it that they leave or want no more requests.
struct AnnouncementBounds {
    /// Requests that callers send later than this after the VM has passed on the answer do not reach the leaving server.
    Duration leavingKnownAfter = std::chrono::milliseconds(2000);
    /// Only arrivals later than this after the answer, up to the end of the backoff, are counted.
    Duration backoffKnownAfter = std::chrono::milliseconds(500);
    std::size_t arrivalsInBackoff = 2;
};

/// What entry VMs made of the announcements in servers' answers, as seen by callers and servers.
struct AnnouncementReport {
    std::size_t backoffs = 0; ///< Pairs of a VM and a server that asked it for a backoff.
    std::size_t mostInBackoff = 0; ///< The most arrivals at one server from one VM in one backoff.
    std::size_t pairsBeyondBound = 0; ///< Pairs with more arrivals in a backoff than allowed.
    std::size_t leavings = 0; ///< Pairs of a VM and a server that told it that it leaves.
    std::size_t lateAtLeaving = 0; ///< Arrivals at servers from VMs that they had told so.
};

AnnouncementReport checkAnnouncements(std::span<const Arrival> arrivals,
    const std::map<std::string, SentRequest> &sent,
    std::span<const Disturbance> disturbances = {},
    const AnnouncementBounds &bounds = {});

} // namespace cardamomlift::test
