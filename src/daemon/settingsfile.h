#pragma once

#include "kernel/finding.h"
#include "settings/settingstypes.h"

#include <optional>
#include <string>

namespace cardamomlift::daemon {

/// Reads a settings file, either in the product's own format or in the format that the platform writes. Adds everything that
/// is wrong to @p findings. Empty if there is an error.
std::optional<settings::Settings> readSettingsFile(const std::string &path, Findings &findings);

} // namespace cardamomlift::daemon
