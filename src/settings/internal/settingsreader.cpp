#include "settings/settingsreader.h"

#include "membership/vmlist.h"
#include "settings/jsontext.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>

namespace cardamomlift::settings {

namespace {

constexpr std::int64_t MaxPort = 65535;
constexpr std::int64_t MaxIdleSeconds = 3600;
constexpr std::size_t Sha256HexLength = 64;
constexpr std::int64_t MaxOpenRequests = 1'000'000;
constexpr std::int64_t MaxMegabytes = 65536;
constexpr std::int64_t MaxKilobytes = 1 << 20;
constexpr std::int64_t MaxDrainSeconds = 24 * 3600;
constexpr std::array<std::string_view, 4> LogLevels{"debug", "info", "warn", "error"};

bool isIpv4Address(const std::string &text)
{
    in_addr parsed{};
    return inet_pton(AF_INET, text.c_str(), &parsed) == 1;
}

/// Whether @p text is an HTTP or HTTPS URL with an IPv4 address and no path, as in "http://10.0.0.1:8000".
bool isEndpoint(std::string_view text)
{
    for (const std::string_view scheme : {"http://", "https://"}) {
        if (!text.starts_with(scheme)) {
            continue;
        }
        const std::string_view host = text.substr(scheme.size());
        const auto colon = host.find(':');
        const std::string_view port = colon == std::string_view::npos ? std::string_view("80") : host.substr(colon + 1);
        const bool isNumber = !port.empty() && port.find_first_not_of("0123456789") == std::string_view::npos;
        return isNumber && isIpv4Address(std::string(host.substr(0, colon)));
    }
    return false;
}

std::string readEndpoint(ObjectReader &reader, const Json::Value &owner, const char *name, bool required)
{
    const std::string endpoint = reader.text(name, required);
    if (!endpoint.empty() && !isEndpoint(endpoint)) {
        reader.report(owner[name], std::string("\"") + name + "\" is not an endpoint.", "Write it as in \"http://10.0.0.1:8000\", with an IPv4 address.");
    }
    return endpoint;
}

/// Reads a name that becomes part of request ids. It must not contain the characters that separate the parts of an id.
std::string readName(ObjectReader &reader, const Json::Value &owner, const char *name)
{
    constexpr char Allowed[] = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.";
    const std::string text = reader.text(name, true);
    if (text.find_first_not_of(Allowed) != std::string::npos) {
        reader.report(owner[name], std::string("\"") + name + "\" is not a name.", "Use letters, digits, hyphens, underscores and dots.");
    }
    return text;
}

std::string readHash(ObjectReader &reader, const Json::Value &owner, const char *name)
{
    const std::string hash = reader.text(name, true);
    const bool isHash = hash.size() == Sha256HexLength && hash.find_first_not_of("0123456789abcdef") == std::string::npos;
    if (owner.isObject() && owner.isMember(name) && !isHash) {
        reader.report(owner[name], std::string("\"") + name + "\" is not a SHA-256 hash.", "Write the 64 hex digits that `cardamomlift hash-key` prints.");
    }
    return hash;
}

ListenSettings readListen(const JsonText &text, const Json::Value *value, const char *what, Findings &findings)
{
    ListenSettings listen;
    if (!value) {
        return listen;
    }
    ObjectReader reader(text, *value, what, findings);
    listen.address = reader.text("address", false, listen.address);
    listen.port = static_cast<std::uint16_t>(reader.number("port", false, 0, 0, MaxPort));
    listen.certificateFile = reader.text("certificateFile", false);
    listen.privateKeyFile = reader.text("privateKeyFile", false);
    listen.authorityFile = reader.text("authorityFile", false);
    listen.idleSeconds = static_cast<unsigned>(reader.number("idleSeconds", false, listen.idleSeconds, 1, MaxIdleSeconds));
    if (!isIpv4Address(listen.address)) {
        reader.report((*value)["address"], "\"address\" is not an IPv4 address.", "Write it as in \"10.0.0.1\"; host names are not resolved.");
    }
    if (listen.certificateFile.empty() != listen.privateKeyFile.empty()) {
        reader.report(*value, "Only one of \"certificateFile\" and \"privateKeyFile\" is given.", "Give both for TLS, or neither for plaintext.");
    }
    reader.rejectUnknown();
    return listen;
}

void readVms(const JsonText &text, const Json::Value &list, PlatformSettings &platform, Findings &findings)
{
    for (const Json::Value &entry : list) {
        if (auto vm = membership::vmFromJson(entry)) {
            platform.vms.push_back(std::move(*vm));
            continue;
        }
        findings.push_back(text.findingAt(entry, "This is not a valid VM.", "Give instance, address, zone, role (model or service), port and serves."));
    }
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
    platform.tableEndpoint = readEndpoint(reader, *value, "tableEndpoint", required);
    platform.tableName = reader.text("tableName", false, platform.tableName);
    platform.region = reader.text("region", false, platform.region);
    platform.accessKey = reader.text("accessKey", required);
    platform.secretKey = reader.text("secretKey", required);
    platform.vmListEndpoint = readEndpoint(reader, *value, "vmListEndpoint", required);
    platform.cloudEndpoint = readEndpoint(reader, *value, "cloudEndpoint", false);
    platform.noticeEndpoint = readEndpoint(reader, *value, "noticeEndpoint", false);
    if (const Json::Value *vms = reader.array("vms", false)) {
        readVms(text, *vms, platform, findings);
    }
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
    const auto read = [&](const char *name, std::size_t fallback, std::int64_t max) {
        return static_cast<std::size_t>(reader.number(name, false, static_cast<std::int64_t>(fallback), 1, max));
    };
    limits.openRequests = read("openRequests", limits.openRequests, MaxOpenRequests);
    limits.memoryMegabytes = read("memoryMegabytes", limits.memoryMegabytes, MaxMegabytes);
    limits.bodyKilobytes = read("bodyKilobytes", limits.bodyKilobytes, MaxKilobytes);
    limits.callerBufferKilobytes = read("callerBufferKilobytes", limits.callerBufferKilobytes, MaxKilobytes);
    limits.drainSeconds = read("drainSeconds", limits.drainSeconds, MaxDrainSeconds);
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
    settings.instance = readName(reader, text->root(), "instance");
    settings.zone = readName(reader, text->root(), "zone");
    settings.region = reader.text("region", false, settings.region);
    settings.callers = readListen(*text, reader.member("callers"), "\"callers\"", findings);
    settings.operators = readListen(*text, reader.member("operators"), "\"operators\"", findings);
    settings.peers = readListen(*text, reader.member("peers"), "\"peers\"", findings);
    settings.operatorTokenSha256 = readHash(reader, text->root(), "operatorTokenSha256");
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

Settings standaloneSettings()
{
    Settings settings;
    settings.instance = "alone";
    settings.zone = "zone-1";
    settings.platform.inMemory = true;
    return settings;
}

} // namespace cardamomlift::settings
