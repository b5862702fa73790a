#include "standins/engine/orders.h"

#include "http/json.h"

namespace cardamomlift::standins {

Orders::Orders(bool checkFencing)
    : checkFencing_(checkFencing)
{
}

http::Response Orders::take(const Json::Value &order)
{
    const std::uint64_t fence = order.get("fence", 0).asUInt64();
    const std::string action = order.get("action", "").asString();
    const std::string model = order.get("model", "").asString();
    if (fence < highestFence_ && checkFencing_) {
        refused_++;
        Json::Value body;
        body["error"]["message"] = "old fencing number";
        body["highest"] = static_cast<Json::UInt64>(highestFence_);
        return http::jsonResponse(409, body);
    }
    oldTaken_ += fence < highestFence_ ? 1 : 0;
    highestFence_ = std::max(highestFence_, fence);
    if (action == "load") {
        loaded_.insert(model);
        unloaded_.erase(model);
    } else if (action == "unload") {
        loaded_.erase(model);
        unloaded_.insert(model);
    } else if (action == "role") {
        role_ = order.get("role", role_).asString();
    } else {
        return {400, {}, "unknown action\n"};
    }
    taken_++;
    return http::jsonResponse(200, totals());
}

bool Orders::serves(const std::string &model) const
{
    return !unloaded_.contains(model);
}

Json::Value Orders::totals() const
{
    Json::Value json;
    json["taken"] = static_cast<Json::UInt64>(taken_);
    json["refused"] = static_cast<Json::UInt64>(refused_);
    json["oldTaken"] = static_cast<Json::UInt64>(oldTaken_);
    json["highestFence"] = static_cast<Json::UInt64>(highestFence_);
    json["role"] = role_;
    json["loaded"] = Json::Value(Json::arrayValue);
    for (const std::string &model : loaded_) {
        json["loaded"].append(model);
    }
    return json;
}

} // namespace cardamomlift::standins
