#pragma once

#include "http/server.h"

#include <json/json.h>

#include <cstdint>
#include <set>
#include <string>

namespace cardamomlift::standins {

/// Orders to an engine: load or unload a model, change its role. Old fencing numbers are refused or ignored by setting.
class Orders
{
public:
    explicit Orders(bool checkFencing);
    /// Takes {"fence":n,"action":"load"|"unload"|"role","model":...,"role":...}; 409 for an old number when checked.
    http::Response take(const Json::Value &order);
    /// False after an order to unload @p model.
    bool serves(const std::string &model) const;
    Json::Value totals() const;

private:
    bool checkFencing_;
    std::uint64_t highestFence_ = 0;
    std::uint64_t taken_ = 0;
    std::uint64_t refused_ = 0;
    std::uint64_t oldTaken_ = 0; ///< Orders with an old number that were carried out.
    std::string role_ = "both";
    std::set<std::string> loaded_;
    std::set<std::string> unloaded_;
};

} // namespace cardamomlift::standins
