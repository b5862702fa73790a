#pragma once

#include "kernel/finding.h"
#include "settings/settingstypes.h"

#include <string>

namespace cardamomlift::settings {

/// Parses and validates settings. Adds everything that is wrong to @p findings; the result must not be used then.
Settings readSettings(const std::string &file, const std::string &text, Findings &findings);

/// Settings of a standalone daemon: with an in-memory platform, on free ports of the loopback interface.
Settings standaloneSettings();

} // namespace cardamomlift::settings
