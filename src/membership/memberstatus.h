#pragma once

#include "membership/members.h"

#include <json/json.h>

namespace cardamomlift::membership {

/// What this VM believes of one VM and who said so, for the operators' status page.
Json::Value memberStatus(const Members &members, const Vm &vm);

} // namespace cardamomlift::membership
