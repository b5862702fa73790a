#include "settings/settingsreader.h"

#include "settings/jsontext.h"

#include <algorithm>
#include <array>

namespace cardamomlift::settings {

namespace {

constexpr std::int64_t HighestPort = 65535;
constexpr std::int64_t MostOpenRequests = 1'000'000;
constexpr std::int64_t MostMegabytes = 65536;
constexpr std::int64_t MostKilobytes = 1 << 20;
constexpr std::array<std::string_view, 4> LogLevels{"debug", "info", "warn", "error"};

ListenSettings readListen(const JsonText &text, const Json::Value *value, const char *what, Findings &findings)
{
    ListenSettings listen;
    if (!value) {
        return listen;
    }
    ObjectReader reader(text, *value, what, findings);
    listen.address = reader.text("address", false, listen.address);
    listen.port = static_cast<std::uint16_t>(reader.number("port", false, 0, 0, HighestPort));
    listen.certificateFile = reader.text("certificateFile", false);
    listen.privateKeyFile = reader.text("privateKeyFile", false);
    if (listen.certificateFile.empty() != listen.privateKeyFile.empty()) {
        reader.report(*value, "Only one of \"certificateFile\" and \"privateKeyFile\" is given.", "Give both for TLS, or none for plaintext.");
    }
    reader.rejectUnknown();
    return listen;
}

PlatformSettings readPlatform(const JsonText &text, const Json::Value *value, Findings &findings)
{
    PlatformSettings platform;
    if (!value) {
        platform.inMemory = true;
        return platform;
    }
    ObjectReader reader(text, *value, "\"platform\"", findings);
    platform.inMemory = reader.boolean("inMemory", false);
    const bool required = !platform.inMemory;
    platform.tableEndpoint = reader.text("tableEndpoint", required);
    platform.tableName = reader.text("tableName", false, platform.tableName);
    platform.region = reader.text("region", false, platform.region);
    platform.accessKey = reader.text("accessKey", required);
    platform.secretKey = reader.text("secretKey", required);
    platform.vmListEndpoint = reader.text("vmListEndpoint", required);
    platform.noticeEndpoint = reader.text("noticeEndpoint", false);
    reader.rejectUnknown();
    return platform;
}

LimitSettings readLimits(const JsonText &text, const Json::Value *value, Findings &findings)
{
    LimitSettings limits;
    if (!value) {
        return limits;
    }
    ObjectReader reader(text, *value, "\"limits\"", findings);
    const auto read = [&](const char *name, std::size_t fallback, std::int64_t high) {
        return static_cast<std::size_t>(reader.number(name, false, static_cast<std::int64_t>(fallback), 1, high));
    };
    limits.openRequests = read("openRequests", limits.openRequests, MostOpenRequests);
    limits.memoryMegabytes = read("memoryMegabytes", limits.memoryMegabytes, MostMegabytes);
    limits.bodyKilobytes = read("bodyKilobytes", limits.bodyKilobytes, MostKilobytes);
    limits.callerBufferKilobytes = read("callerBufferKilobytes", limits.callerBufferKilobytes, MostKilobytes);
    reader.rejectUnknown();
    return limits;
}

} // namespace

Settings readSettings(const std::string &file, const std::string &content, Findings &findings)
{
    Settings settings;
    const auto text = JsonText::parse(file, content, findings);
    if (!text) {
        return settings;
    }
    ObjectReader reader(*text, text->root(), "the settings", findings);
    settings.instance = reader.text("instance", true);
    settings.zone = reader.text("zone", true);
    settings.region = reader.text("region", false, settings.region);
    settings.callers = readListen(*text, reader.member("callers"), "\"callers\"", findings);
    settings.operators = readListen(*text, reader.member("operators"), "\"operators\"", findings);
    settings.peers = readListen(*text, reader.member("peers"), "\"peers\"", findings);
    settings.operatorTokenSha256 = reader.text("operatorTokenSha256", true);
    settings.peerToken = reader.text("peerToken", true);
    settings.platform = readPlatform(*text, reader.member("platform"), findings);
    settings.limits = readLimits(*text, reader.member("limits"), findings);
    settings.logLevel = reader.text("logLevel", false, settings.logLevel);
    if (std::find(LogLevels.begin(), LogLevels.end(), settings.logLevel) == LogLevels.end()) {
        reader.report(text->root()["logLevel"], "Unknown log level.", "Write debug, info, warn or error.");
    }
    if (const Json::Value *files = reader.array("contractFiles", false)) {
        for (const Json::Value &name : *files) {
            settings.contractFiles.push_back(name.isString() ? name.asString() : std::string());
        }
    }
    reader.rejectUnknown();
    return settings;
}

Settings embeddedDefaults()
{
    Settings settings;
    settings.instance = "alone";
    settings.zone = "zone-1";
    settings.platform.inMemory = true;
    return settings;
}

} // namespace cardamomlift::settings
