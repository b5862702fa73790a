#pragma once

#include "kernel/clock.h"
#include "manifest/manifesttypes.h"

#include <cstdint>
#include <map>
#include <string>

namespace cardamomlift::allowance {

/// What another VM, or a group of VMs, takes from one customer's token bucket.
struct PeerUsage {
    std::uint64_t incarnation = 0; ///< Of the VM's process; for a group, of the set of its processes.
    double taken = 0; ///< Its counter of taken tokens, in its last status.
    double demandPerSecond = 0; ///< What its callers request.
    TimePoint receivedAt; ///< When the status arrived.
    Duration uptime{0}; ///< Of its process at that time.
    bool isGroup = false;
    double takenPerSecond = 0; ///< For a group, the recent average of the rate of its counter, computed here.
};

/// One VM's estimate of one customer's token bucket, which all VMs fill and drain together. The VM's own use is known at once,
/// that of others from their statuses and, between these, from their demand.
struct BucketEstimate {
    double level = 0; ///< Excludes what peers are estimated to have taken since their last statuses.
    bool isInitialized = false; ///< The initial level of a new process has been added.
    TimePoint startedAt; ///< When this VM's process started, or the VMs were last divided into other groups.
    TimePoint updatedAt;
    std::size_t vmCount = 1; ///< The count passed to refill().
    double demandPerSecond = 0; ///< What this VM's callers request: a decaying average.
    TimePoint demandUpdatedAt;
    double taken = 0; ///< Taken by this VM since its process started.
    double shareLevel = 0; ///< With few VMs: level of this VM's own share, used while the bucket runs low.
    /// With many VMs, while the bucket runs low: each request adds the admitted fraction, and one that brings this to 1 is admitted
    /// and subtracts 1. It starts at a random value that differs between the VMs, or all of them would refuse their first requests,
    /// or none. A VM that has not heard from the others yet uses the value as its random number.
    double admissionCredit = 0;
    std::map<std::string, PeerUsage> peers; ///< Keyed by instance, or by the name of the group.
};

} // namespace cardamomlift::allowance
