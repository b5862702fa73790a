#pragma once

#include "membership/members.h"

#include <json/json.h>

namespace cardamomlift::membership {

/// The state of @p vm as known to this VM, and which VM reported it, for the operators' status page.
Json::Value memberStatus(const Members &members, const Vm &vm);

} // namespace cardamomlift::membership
