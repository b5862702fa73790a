#include "table/dynamodbformat.h"

namespace cardamomlift::table {

namespace {

constexpr char ItemAbsentExpression[] = "attribute_not_exists(pk)";
constexpr char AttributeEqualsExpression[] = "#a = :v";

Json::Value stringAttribute(const std::string &value)
{
    Json::Value json;
    json["S"] = value;
    return json;
}

Json::Value numberAttribute(const std::string &value)
{
    Json::Value json;
    json["N"] = value;
    return json;
}

/// The value of an attribute of type S or N, without the type; null for any other type.
const Json::Value *attributeValue(const Json::Value &typed)
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
    json[PartitionAttribute] = stringAttribute(key.partition);
    json[SortAttribute] = stringAttribute(key.sort);
    return json;
}

Json::Value itemToJson(const Item &item)
{
    Json::Value json = keyToJson(item.key);
    for (const auto &[name, value] : item.attributes) {
        json[name] = name == ExpiryAttribute ? numberAttribute(value) : stringAttribute(value);
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
        const Json::Value *value = attributeValue(json[name]);
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
        operation["ConditionExpression"] = ItemAbsentExpression;
        return;
    case ConditionKind::AttributeEquals:
        operation["ConditionExpression"] = AttributeEqualsExpression;
        operation["ExpressionAttributeNames"]["#a"] = condition.attribute;
        operation["ExpressionAttributeValues"][":v"] = stringAttribute(condition.value);
        return;
    }
}

std::optional<Condition> conditionFromJson(const Json::Value &operation)
{
    const std::string expression = operation.get("ConditionExpression", "").asString();
    if (expression.empty()) {
        return Condition{};
    }
    if (expression == ItemAbsentExpression) {
        return Condition{ConditionKind::ItemAbsent, {}, {}};
    }
    if (expression == AttributeEqualsExpression) {
        return Condition{ConditionKind::AttributeEquals,
            operation["ExpressionAttributeNames"]["#a"].asString(),
            operation["ExpressionAttributeValues"][":v"]["S"].asString()};
    }
    return std::nullopt;
}

} // namespace cardamomlift::table
