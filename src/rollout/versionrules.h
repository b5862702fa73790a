#pragma once

#include "rollout/rollouttypes.h"

#include <string_view>

namespace cardamomlift::rollout {

/// What a server may get by its software version.
enum class VersionState {
    Usable,
    Preferred, ///< The version that the traffic moves to: others only where none of it is to be had.
    OnTrial, ///< Only what its trial may spend.
    Excluded,
};

/// The standing of servers of @p version by the service's newest order and record, either null if there is none. An order
/// that no record answers yet gives its version nothing: whether it is good is not known.
VersionState versionStateOf(std::string_view version, const Order *order, const Record *record);

} // namespace cardamomlift::rollout
