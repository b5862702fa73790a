#pragma once

#include "rollout/rollouttypes.h"

#include <string_view>

namespace cardamomlift::rollout {

/// Which requests servers of a software version may get.
enum class VersionState {
    Usable, ///< Any request.
    Preferred, ///< The version that traffic moves to. Other versions are used only if none of its servers is available.
    OnTrial, ///< Only requests within the budget of its trial.
    Excluded, ///< No requests.
};

/// The state of @p version according to the service's newest order and record; either may be null. The target version of an
/// order without a record is excluded, since its trial has not begun.
VersionState versionStateOf(std::string_view version, const Order *order, const Record *record);

} // namespace cardamomlift::rollout
