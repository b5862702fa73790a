#include "table/dynamodbformat.h"

namespace cardamomlift::table {

namespace {

constexpr char AbsentExpression[] = "attribute_not_exists(pk)";
constexpr char EqualsExpression[] = "#a = :v";

Json::Value text(const std::string &value)
{
    Json::Value json;
    json["S"] = value;
    return json;
}

Json::Value number(const std::string &value)
{
    Json::Value json;
    json["N"] = value;
    return json;
}

/// The value of a typed attribute, or null.
const Json::Value *typedValue(const Json::Value &typed)
{
    if (!typed.isObject()) {
        return nullptr;
    }
    for (const char *type : {"S", "N"}) {
        const Json::Value *value = typed.find(type, type + 1);
        if (value && value->isString()) {
            return value;
        }
    }
    return nullptr;
}

} // namespace

Json::Value keyToJson(const Key &key)
{
    Json::Value json;
    json[PartitionAttribute] = text(key.partition);
    json[SortAttribute] = text(key.sort);
    return json;
}

Json::Value itemToJson(const Item &item)
{
    Json::Value json = keyToJson(item.key);
    for (const auto &[name, value] : item.attributes) {
        json[name] = name == ExpiryAttribute ? number(value) : text(value);
    }
    return json;
}

std::optional<Item> itemFromJson(const Json::Value &json)
{
    if (!json.isObject()) {
        return std::nullopt;
    }
    Item item;
    for (const std::string &name : json.getMemberNames()) {
        const Json::Value *value = typedValue(json[name]);
        if (!value) {
            return std::nullopt;
        }
        item.attributes[name] = value->asString();
    }
    auto partition = item.attributes.extract(PartitionAttribute);
    auto sort = item.attributes.extract(SortAttribute);
    if (partition.empty() || sort.empty()) {
        return std::nullopt;
    }
    item.key = Key{partition.mapped(), sort.mapped()};
    return item;
}

void addCondition(Json::Value &operation, const Condition &condition)
{
    switch (condition.kind) {
    case ConditionKind::None:
        return;
    case ConditionKind::ItemAbsent:
        operation["ConditionExpression"] = AbsentExpression;
        return;
    case ConditionKind::AttributeEquals:
        operation["ConditionExpression"] = EqualsExpression;
        operation["ExpressionAttributeNames"]["#a"] = condition.attribute;
        operation["ExpressionAttributeValues"][":v"] = text(condition.value);
        return;
    }
}

std::optional<Condition> conditionFromJson(const Json::Value &operation)
{
    const std::string expression = operation.get("ConditionExpression", "").asString();
    if (expression.empty()) {
        return Condition{};
    }
    if (expression == AbsentExpression) {
        return Condition{ConditionKind::ItemAbsent, {}, {}};
    }
    if (expression == EqualsExpression) {
        return Condition{ConditionKind::AttributeEquals,
            operation["ExpressionAttributeNames"]["#a"].asString(),
            operation["ExpressionAttributeValues"][":v"]["S"].asString()};
    }
    return std::nullopt;
}

} // namespace cardamomlift::table
