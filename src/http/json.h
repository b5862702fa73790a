#pragma once

#include "http/httptypes.h"

#include <json/json.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cardamomlift::http {

/// Parses one JSON text (no comments). Empty if it is not JSON.
std::optional<Json::Value> parseJson(std::string_view text);

// NOTE jsoncpp throws if a value is read as a type that it has not. Values from outside of the process are read by these functions.

/// The member @p name; null if there is none or @p object is no object.
const Json::Value &jsonMember(const Json::Value &object, const char *name);
/// The member @p name if it is a string, else @p fallback.
std::string jsonText(const Json::Value &object, const char *name, const std::string &fallback = {});
/// The member @p name if it is a whole number in the range of the type, else @p fallback.
std::int64_t jsonInteger(const Json::Value &object, const char *name, std::int64_t fallback = 0);
std::uint64_t jsonUnsigned(const Json::Value &object, const char *name, std::uint64_t fallback = 0);
/// The member @p name if it is true or false, else @p fallback.
bool jsonFlag(const Json::Value &object, const char *name, bool fallback = false);

/// Writes @p value on one line.
std::string writeJson(const Json::Value &value);

/// A whole answer with a JSON body.
Response jsonResponse(int status, const Json::Value &value);

} // namespace cardamomlift::http
