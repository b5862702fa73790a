#include "kernel/log.h"

#include <spdlog/sinks/stdout_sinks.h>

namespace cardamomlift {

Logger partLogger(std::string_view part)
{
    const std::string name(part);
    if (auto existing = spdlog::get(name)) {
        return existing;
    }
    auto logger = spdlog::stderr_logger_mt(name);
    logger->set_pattern("%Y-%m-%dT%H:%M:%S.%e %l [%n] %v");
    logger->set_level(spdlog::get_level());
    return logger;
}

void setLogLevel(std::string_view level)
{
    spdlog::set_level(spdlog::level::from_str(std::string(level)));
}

} // namespace cardamomlift
