#pragma once

#include "kernel/finding.h"
#include "settings/settingstypes.h"

#include <string>

namespace cardamomlift::settings {

/// Reads and checks a whole settings text. All that is wrong is added to @p findings; then the result is not to be used.
Settings readSettings(const std::string &file, const std::string &text, Findings &findings);

/// Settings of a daemon that runs alone with an in-memory platform, on free loopback ports.
Settings embeddedDefaults();

} // namespace cardamomlift::settings
