#include "operatorapi/operatorjson.h"

#include "http/json.h"

namespace cardamomlift::operatorapi {

Json::Value versionToJson(const contract::ContractVersion &version)
{
    Json::Value json;
    json["customer"] = version.customer;
    json["version"] = static_cast<Json::UInt64>(version.version);
    json["revision"] = static_cast<Json::UInt64>(version.revision);
    json["text"] = version.text;
    json["author"] = version.author;
    json["editId"] = version.editId;
    json["acceptedAtMs"] = static_cast<Json::Int64>(version.acceptedAtMs);
    return json;
}

contract::ContractVersion versionFromJson(const Json::Value &json)
{
    contract::ContractVersion version;
    version.customer = http::jsonText(json, "customer");
    version.version = http::jsonUnsigned(json, "version");
    version.revision = http::jsonUnsigned(json, "revision");
    version.text = http::jsonText(json, "text");
    version.author = http::jsonText(json, "author");
    version.editId = http::jsonText(json, "editId");
    version.acceptedAtMs = http::jsonInteger(json, "acceptedAtMs");
    return version;
}

Json::Value findingsToJson(std::span<const Finding> findings)
{
    Json::Value list(Json::arrayValue);
    for (const Finding &finding : findings) {
        Json::Value json;
        json["file"] = finding.file;
        json["line"] = finding.line;
        json["column"] = finding.column;
        json["message"] = finding.message;
        json["remedy"] = finding.remedy;
        json["severity"] = finding.severity == Severity::Error ? "error" : "danger";
        list.append(json);
    }
    return list;
}

Findings findingsFromJson(const Json::Value &json)
{
    Findings findings;
    for (const Json::Value &entry : json) {
        const Severity severity = http::jsonText(entry, "severity") == "danger" ? Severity::Danger : Severity::Error;
        findings.push_back({http::jsonText(entry, "file"),
            static_cast<int>(http::jsonInteger(entry, "line")),
            static_cast<int>(http::jsonInteger(entry, "column")),
            http::jsonText(entry, "message"),
            http::jsonText(entry, "remedy"),
            severity});
    }
    return findings;
}

http::Response errorResponse(int status, const std::string &code, const std::string &message)
{
    Json::Value body;
    body["error"]["code"] = code;
    body["error"]["message"] = message;
    return http::jsonResponse(status, body);
}

} // namespace cardamomlift::operatorapi
