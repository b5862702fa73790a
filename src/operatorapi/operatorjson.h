#pragma once

#include "contract/contracttypes.h"
#include "http/httptypes.h"
#include "kernel/finding.h"

#include <json/json.h>

#include <span>

namespace cardamomlift::operatorapi {

Json::Value versionToJson(const contract::ContractVersion &version);
contract::ContractVersion versionFromJson(const Json::Value &json);
Json::Value findingsToJson(std::span<const Finding> findings);
Findings findingsFromJson(const Json::Value &json);
/// An error response in the format that all paths of the operator API use.
http::Response errorResponse(int status, const std::string &code, const std::string &message);

} // namespace cardamomlift::operatorapi
