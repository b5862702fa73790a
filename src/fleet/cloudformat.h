#pragma once

#include "fleet/cloudclient.h"

#include <json/json.h>

#include <optional>

namespace cardamomlift::fleet {

/// An instance resource: name, zone, machineType, status, scheduling.provisioningModel, labels.
Json::Value instanceToJson(const FleetVm &vm);
/// Empty if a member is missing. The offer holds what the resource tells; price and speed come from the offers.
std::optional<FleetVm> instanceFromJson(const Json::Value &json);

Json::Value offerToJson(const Offer &offer);
std::optional<Offer> offerFromJson(const Json::Value &json);

} // namespace cardamomlift::fleet
