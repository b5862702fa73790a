#pragma once

#include "http/httptypes.h"

#include <json/json.h>

#include <optional>
#include <string>
#include <string_view>

namespace cardamomlift::http {

/// Parses one JSON text (no comments). Empty if it is not JSON.
std::optional<Json::Value> parseJson(std::string_view text);

/// Writes @p value on one line.
std::string writeJson(const Json::Value &value);

/// A whole answer with a JSON body.
Response jsonResponse(int status, const Json::Value &value);

} // namespace cardamomlift::http
