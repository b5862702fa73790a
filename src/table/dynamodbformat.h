#pragma once

#include "table/tabletypes.h"

#include <json/json.h>

#include <optional>

namespace cardamomlift::table {

inline constexpr char PartitionAttribute[] = "pk";
inline constexpr char SortAttribute[] = "sk";
/// Time to live (TTL): seconds since 1970 UTC, stored as type N. The platform deletes the item some time after it.
inline constexpr char ExpiryAttribute[] = "expiresAt";
/// Prefix of the operation name in the X-Amz-Target header.
inline constexpr char TargetPrefix[] = "DynamoDB_20120810.";

/// {"pk":{"S":…},"sk":{"S":…}}
Json::Value keyToJson(const Key &key);
Json::Value itemToJson(const Item &item);
/// Empty if a key attribute is missing or an attribute is neither of type S nor N.
std::optional<Item> itemFromJson(const Json::Value &json);

/// Adds @p condition to the JSON body of an operation: ConditionExpression and its name and value maps.
void addCondition(Json::Value &operation, const Condition &condition);
/// Parses the expressions that addCondition() writes. Empty for any other expression.
std::optional<Condition> conditionFromJson(const Json::Value &operation);

} // namespace cardamomlift::table
