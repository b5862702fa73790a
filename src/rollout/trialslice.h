#pragma once

#include "kernel/clock.h"

#include <cstddef>
#include <cstdint>

namespace cardamomlift::rollout {

/// A time slice in which all VMs send the trial's requests to the same few servers. These servers then have about the load
/// that they would have if the version got all requests, so that a version that is bad only under load is detected.
struct TrialSlice {
    bool isOpen = false; ///< Whether requests are sent. With few servers they accumulate over some slices, to load one server.
    std::uint64_t number = 0; ///< The same on all VMs; seeds the ranking of the servers.
    std::size_t servers = 1; ///< Number of servers that get the requests.
};

/// The slice at time @p storeNow of a trial with @p servers servers and @p share of the service's requests.
TrialSlice trialSlice(Duration storeNow, std::size_t servers, double share);

} // namespace cardamomlift::rollout
