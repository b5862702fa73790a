#pragma once

#include "fleet/cloudclient.h"

#include <json/json.h>

#include <optional>

namespace cardamomlift::fleet {

/// Writes an instance resource: name, zone, machineType, status, scheduling.provisioningModel, labels.
Json::Value instanceToJson(const FleetVm &vm);
/// Reads an instance resource; empty if its name, zone or machine type is missing. The resource carries no price and no
/// throughput: these fields of the VM's offer stay 0 until they are filled in from the list of offers.
std::optional<FleetVm> instanceFromJson(const Json::Value &json);

Json::Value offerToJson(const Offer &offer);
std::optional<Offer> offerFromJson(const Json::Value &json);

} // namespace cardamomlift::fleet
