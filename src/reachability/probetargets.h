#pragma once

#include "directory/directory.h"
#include "membership/members.h"
#include "reachability/reachabilitytypes.h"

#include <vector>

namespace cardamomlift::reachability {

/// The servers of the platform's list that are not leaving, for the route gateway.
std::vector<ProbeTarget> probeTargets(const directory::Directory &directory);
/// The same for the chat gateway.
std::vector<ProbeTarget> probeTargets(const membership::Members &members);

} // namespace cardamomlift::reachability
