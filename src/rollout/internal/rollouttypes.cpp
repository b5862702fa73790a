#include "rollout/rollouttypes.h"

#include "http/json.h"

#include <array>
#include <optional>

namespace cardamomlift::rollout {

namespace {

constexpr std::array<std::string_view, 4> PhaseNames{"trial", "moving", "succeeded", "rolled_back"};

std::optional<Phase> parsePhase(std::string_view name)
{
    for (std::size_t i = 0; i < PhaseNames.size(); i++) {
        if (PhaseNames[i] == name) {
            return static_cast<Phase>(i);
        }
    }
    return std::nullopt;
}

} // namespace

std::string_view phaseName(Phase phase)
{
    return PhaseNames[static_cast<std::size_t>(phase)];
}

ReportedState reportedState(Phase phase)
{
    switch (phase) {
    case Phase::Succeeded:
        return ReportedState::Succeeded;
    case Phase::RolledBack:
        return ReportedState::RolledBack;
    case Phase::Trial:
    case Phase::Moving:
        return ReportedState::Running;
    }
    return ReportedState::Running;
}

bool coversOrder(const Record &record, const Order &order)
{
    const bool isWrittenAgain = order.id.era > record.orderId.era && order.toVersion == record.toVersion;
    return record.orderId >= order.id || isWrittenAgain;
}

bool isBehind(const Record &record, const Record &known)
{
    return record.orderId == known.orderId ? record.phase < known.phase : record.orderId < known.orderId;
}

bool isOver(Phase phase)
{
    return phase == Phase::Succeeded || phase == Phase::RolledBack;
}

std::string encodeRecord(const Record &record)
{
    Json::Value json;
    json["orderEra"] = static_cast<Json::UInt64>(record.orderId.era);
    json["order"] = static_cast<Json::UInt64>(record.orderId.number);
    json["service"] = record.service;
    json["toVersion"] = record.toVersion;
    json["phase"] = std::string(phaseName(record.phase));
    json["startedAtUs"] = static_cast<Json::Int64>(record.startedAt.count());
    json["endsAtUs"] = static_cast<Json::Int64>(record.endsAt.count());
    json["phaseAtUs"] = static_cast<Json::Int64>(record.phaseStartedAt.count());
    json["excluded"] = Json::Value(Json::arrayValue);
    for (const std::string &version : record.excluded) {
        json["excluded"].append(version);
    }
    return http::writeJson(json);
}

bool decodeRecord(std::string_view text, Record &record)
{
    const auto json = http::parseJson(text);
    if (!json || !json->isObject()) {
        return false;
    }
    const bool hasTexts = (*json)["service"].isString() && (*json)["toVersion"].isString() && (*json)["phase"].isString();
    const bool hasOrder = (*json)["order"].isUInt64() && (*json)["orderEra"].isUInt64();
    const bool hasNumbers = hasOrder && (*json)["startedAtUs"].isInt64() && (*json)["endsAtUs"].isInt64() && (*json)["phaseAtUs"].isInt64();
    if (!hasTexts || !hasNumbers || !(*json)["excluded"].isArray()) {
        return false;
    }
    const auto phase = parsePhase((*json)["phase"].asString());
    if (!phase) {
        return false;
    }
    record.orderId = {(*json)["orderEra"].asUInt64(), (*json)["order"].asUInt64()};
    record.service = (*json)["service"].asString();
    record.toVersion = (*json)["toVersion"].asString();
    record.phase = *phase;
    record.startedAt = Duration((*json)["startedAtUs"].asInt64());
    record.endsAt = Duration((*json)["endsAtUs"].asInt64());
    record.phaseStartedAt = Duration((*json)["phaseAtUs"].asInt64());
    record.excluded.clear();
    for (const Json::Value &version : (*json)["excluded"]) {
        if (!version.isString()) {
            return false;
        }
        record.excluded.push_back(version.asString());
    }
    return true;
}

} // namespace cardamomlift::rollout
