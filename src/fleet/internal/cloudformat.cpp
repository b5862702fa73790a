#include "fleet/cloudformat.h"

#include "http/json.h"

namespace cardamomlift::fleet {

namespace {

constexpr char Spot[] = "SPOT";
constexpr char Standard[] = "STANDARD";
constexpr char Provisioning[] = "PROVISIONING";
constexpr char Running[] = "RUNNING";
constexpr char Stopping[] = "STOPPING";

const char *statusFromState(FleetVmState state)
{
    switch (state) {
    case FleetVmState::Starting:
        return Provisioning;
    case FleetVmState::Live:
        return Running;
    case FleetVmState::Leaving:
        return Stopping;
    }
    return Stopping;
}

FleetVmState stateFromStatus(const std::string &status)
{
    if (status == Running) {
        return FleetVmState::Live;
    }
    return status == Provisioning ? FleetVmState::Starting : FleetVmState::Leaving;
}

} // namespace

Json::Value instanceToJson(const FleetVm &vm)
{
    Json::Value json;
    json["name"] = vm.name;
    json["zone"] = vm.offer.zone;
    json["machineType"] = vm.offer.machineClass;
    json["status"] = statusFromState(vm.state);
    json["scheduling"]["provisioningModel"] = vm.offer.reclaimable ? Spot : Standard;
    json["labels"]["model"] = vm.model;
    return json;
}

std::optional<FleetVm> instanceFromJson(const Json::Value &json)
{
    if (!json.isObject() || !json["name"].isString() || !json["zone"].isString() || !json["machineType"].isString()) {
        return std::nullopt;
    }
    FleetVm vm;
    vm.name = json["name"].asString();
    vm.offer.zone = json["zone"].asString();
    vm.offer.machineClass = json["machineType"].asString();
    vm.offer.reclaimable = http::jsonText(json["scheduling"], "provisioningModel") == Spot;
    vm.model = http::jsonText(json["labels"], "model");
    vm.state = stateFromStatus(http::jsonText(json, "status"));
    return vm;
}

Json::Value offerToJson(const Offer &offer)
{
    Json::Value json;
    json["zone"] = offer.zone;
    json["machineType"] = offer.machineClass;
    json["provisioningModel"] = offer.reclaimable ? Spot : Standard;
    json["microsPerHour"] = static_cast<Json::Int64>(offer.microsPerHour);
    json["tokensPerSecond"] = static_cast<Json::Int64>(offer.tokensPerSecond);
    return json;
}

std::optional<Offer> offerFromJson(const Json::Value &json)
{
    if (!json.isObject() || !json["zone"].isString() || !json["machineType"].isString() || !json["microsPerHour"].isInt64()
        || !json["tokensPerSecond"].isInt64()) {
        return std::nullopt;
    }
    return Offer{json["zone"].asString(),
        json["machineType"].asString(),
        http::jsonText(json, "provisioningModel") == Spot,
        json["microsPerHour"].asInt64(),
        json["tokensPerSecond"].asInt64()};
}

} // namespace cardamomlift::fleet
