#include "duties/dutytypes.h"

#include "http/json.h"

namespace cardamomlift::duties {

std::string encodeLease(const LeaseRow &row)
{
    Json::Value json;
    json["holder"] = row.holder;
    json["incarnation"] = static_cast<Json::UInt64>(row.incarnation);
    json["fence"] = static_cast<Json::UInt64>(row.fence);
    json["era"] = static_cast<Json::UInt64>(row.era);
    json["lacksReports"] = row.lacksReports;
    json["released"] = row.isReleased;
    json["reportedWindow"] = static_cast<Json::Int64>(row.reportedWindow);
    json["arrivedWindow"] = static_cast<Json::Int64>(row.arrivedWindow);
    json["reports"] = Json::Value(Json::arrayValue);
    for (const UsageReport &report : row.reports) {
        Json::Value entry;
        entry["window"] = static_cast<Json::Int64>(report.window);
        entry["counts"] = Json::Value(Json::objectValue);
        for (const auto &[customer, count] : report.counts) {
            entry["counts"][customer] = static_cast<Json::UInt64>(count);
        }
        json["reports"].append(entry);
    }
    return http::writeJson(json);
}

bool decodeLease(std::string_view text, LeaseRow &row)
{
    const auto json = http::parseJson(text);
    if (!json || !json->isObject() || !(*json)["holder"].isString() || !(*json)["fence"].isUInt64() || !(*json)["incarnation"].isUInt64()) {
        return false;
    }
    row.holder = http::jsonText(*json, "holder");
    row.incarnation = http::jsonUnsigned(*json, "incarnation");
    row.fence = http::jsonUnsigned(*json, "fence");
    row.era = http::jsonUnsigned(*json, "era");
    row.lacksReports = http::jsonFlag(*json, "lacksReports");
    row.isReleased = http::jsonFlag(*json, "released");
    row.reportedWindow = http::jsonInteger(*json, "reportedWindow");
    row.arrivedWindow = http::jsonInteger(*json, "arrivedWindow");
    row.reports.clear();
    for (const Json::Value &entry : (*json)["reports"]) {
        UsageReport report;
        report.window = http::jsonInteger(entry, "window");
        const Json::Value &counts = http::jsonMember(entry, "counts");
        for (const std::string &customer : counts.isObject() ? counts.getMemberNames() : Json::Value::Members()) {
            report.counts[customer] = http::jsonUnsigned(counts, customer.c_str());
        }
        row.reports.push_back(std::move(report));
    }
    return true;
}

} // namespace cardamomlift::duties
