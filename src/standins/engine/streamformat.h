#pragma once

#include "standins/engine/enginetypes.h"

#include <json/json.h>

#include <string>

namespace cardamomlift::standins {

/// Reads a chat completion request; @p json must be an object.
StreamPtr readStream(const std::string &id, const Json::Value &json);
/// The event of the token at @p position; @p withUsage adds the token counts so far.
std::string tokenEvent(const EngineStream &stream, std::uint64_t position, bool withUsage);
/// The events that end the answer.
std::string endEvents(const EngineStream &stream);

} // namespace cardamomlift::standins
