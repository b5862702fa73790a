#pragma once

#include "kernel/finding.h"
#include "settings/settingstypes.h"

#include <optional>
#include <string>

namespace cardamomlift::daemon {

/// Reads a settings file, in the product's own format or as the platform writes it. All that is wrong is added to
/// @p findings; with an error there is no result.
std::optional<settings::Settings> readSettingsFile(const std::string &path, Findings &findings);

} // namespace cardamomlift::daemon
