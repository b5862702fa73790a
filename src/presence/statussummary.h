#pragma once

#include "presence/presencetypes.h"

#include <span>
#include <string>

namespace cardamomlift::presence {

/// The status of one VM of a group, and how long ago it was heard.
struct MemberStatus {
    const Status *status = nullptr;
    Duration age{0};
};

/// What the VMs of a group tell, in one status for the VMs of other groups: sums where sums decide, the union of what
/// requests were sent where. Left out are the counts of usage, which the holder of the duty lease hears from each VM, and
/// what is the teller's own: its name, sequence and tables. Sums of different sets of members do not compare.
Status summarize(std::string group, std::span<const MemberStatus> members);

} // namespace cardamomlift::presence
