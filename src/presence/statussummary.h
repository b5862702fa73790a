#pragma once

#include "presence/presencetypes.h"

#include <span>
#include <string>

namespace cardamomlift::presence {

/// The status of one VM of a group, and the time since it was received.
struct MemberStatus {
    const Status *status = nullptr;
    Duration age{0};
};

/// Summarizes the statuses of a group in one status for the VMs of other groups: sums of demands, loads, outcomes and work, the
/// newest limit of each server, the pace of servers off the mean, the union of prefixes, crashes and blocked requests. It leaves out the counts of usage and
/// rollouts, which the holder of the leader lease gets from each VM, and what belongs to the sending VM: its name, sequence and tables. Sums over different
/// sets of members are not comparable.
Status summarize(std::string group, std::span<const MemberStatus> members);

} // namespace cardamomlift::presence
