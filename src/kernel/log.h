#pragma once

#include <spdlog/spdlog.h>

#include <memory>
#include <string_view>

namespace cardamomlift {

using Logger = std::shared_ptr<spdlog::logger>;

/// The logger of one part: every line starts with the part's name. Lines go to standard error.
Logger partLogger(std::string_view part);

/// Sets the level of all loggers: "debug", "info", "warn" or "error".
void setLogLevel(std::string_view level);

} // namespace cardamomlift
