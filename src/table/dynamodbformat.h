#pragma once

#include "table/tabletypes.h"

#include <json/json.h>

#include <optional>

namespace cardamomlift::table {

inline constexpr char PartitionAttribute[] = "pk";
inline constexpr char SortAttribute[] = "sk";
/// Seconds since 1970 UTC, of type N: the platform deletes the item some time after it ("time to live").
inline constexpr char ExpiryAttribute[] = "expiresAt";
inline constexpr char TargetPrefix[] = "DynamoDB_20120810.";

/// {"pk":{"S":…},"sk":{"S":…}}
Json::Value keyToJson(const Key &key);
Json::Value itemToJson(const Item &item);
/// Empty if a key attribute is missing or an attribute is neither of type S nor N.
std::optional<Item> itemFromJson(const Json::Value &json);

/// Adds ConditionExpression and its name and value maps to an operation's JSON.
void addCondition(Json::Value &operation, const Condition &condition);
/// Reads the forms that addCondition() writes. Empty for any other expression.
std::optional<Condition> conditionFromJson(const Json::Value &operation);

} // namespace cardamomlift::table
