#pragma once

#include "suspects/suspecttypes.h"

#include <optional>
#include <string>
#include <string_view>

namespace cardamomlift::suspects {

/// Serializes @p update as a gossip payload. @p now is the wall-clock time of writing, to which its ages refer.
std::string writeCrashUpdate(const CrashUpdate &update, WallTime now);
/// Parses @p payload, with ages as of @p now; empty if it is malformed.
std::optional<CrashUpdate> readCrashUpdate(std::string_view payload, WallTime now);

} // namespace cardamomlift::suspects
