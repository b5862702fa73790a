#include "cli/commands.h"

#include "contract/contractreader.h"
#include "operatorapi/operatorjson.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <iostream>
#include <limits>

namespace cardamomlift::cli {

using contract::ContractVersion;

int reportUnavailable(const OperatorAnswer &answer)
{
    std::string message;
    if (answer.body.isObject()) {
        message = answer.body["error"].get("message", "").asString();
    }
    std::cerr << "No daemon could do it. " << answer.error << message << "\n";
    return ExitUnavailable;
}

std::string formatTime(std::int64_t milliseconds)
{
    return fmt::format("{:%Y-%m-%d %H:%M:%S} UTC", fmt::gmtime(static_cast<std::time_t>(milliseconds / 1000)));
}

std::optional<ContractVersion> newestVersion(OperatorClient &client, const std::string &customer)
{
    const OperatorAnswer answer = client.call("GET", "/v1/contracts/" + customer);
    if (answer.answered && answer.status == 404) {
        return ContractVersion{};
    }
    if (!answer.answered || answer.status != 200) {
        reportUnavailable(answer);
        return std::nullopt;
    }
    return operatorapi::versionFromJson(answer.body);
}

std::optional<std::vector<ContractVersion>> versionsAfter(OperatorClient &client, const std::string &customer, std::uint64_t after, std::size_t most)
{
    std::vector<ContractVersion> versions;
    while (versions.size() < most) {
        const OperatorAnswer answer = client.call("GET", fmt::format("/v1/contracts/{}/history?after={}", customer, after));
        if (!answer.answered || answer.status != 200) {
            reportUnavailable(answer);
            return std::nullopt;
        }
        const Json::Value &page = answer.body["versions"];
        if (page.empty()) {
            break;
        }
        for (const Json::Value &json : page) {
            versions.push_back(operatorapi::versionFromJson(json));
        }
        after = versions.back().version;
    }
    if (versions.size() > most) {
        versions.resize(most);
    }
    return versions;
}

contract::Contract parseStored(const ContractVersion &version)
{
    Findings ignored;
    return contract::readContract(version.customer, version.text, ignored);
}

bool printWhere(const Json::Value &answer)
{
    std::cout << fmt::format("In force at {} of {} entry VMs.\n", answer["inForce"].asUInt64(), answer["listed"].asUInt64());
    for (const Json::Value &vm : answer["vms"]) {
        if (vm["inForce"].asBool()) {
            continue;
        }
        const auto heard = vm["heardMsAgo"].asInt64();
        const std::string contact = heard < 0 ? "never heard here" : fmt::format("heard {:.1f} s ago", static_cast<double>(heard) / 1000);
        std::cout << fmt::format("  not yet: {} in {}, {}\n", vm["instance"].asString(), vm["zone"].asString(), contact);
    }
    return answer["inForce"].asUInt64() == answer["listed"].asUInt64();
}

int show(OperatorClient &client, const CommandLine &line)
{
    const auto newest = newestVersion(client, line.arguments[0]);
    if (!newest) {
        return ExitUnavailable;
    }
    if (newest->version == 0) {
        std::cerr << "There is no contract of " << line.arguments[0] << ".\n";
        return ExitUsage;
    }
    std::cerr << fmt::format("Version {} by {}, {}.\n", newest->version, newest->author, formatTime(newest->acceptedAtMs));
    std::cout << newest->text;
    return ExitOk;
}

int history(OperatorClient &client, const CommandLine &line)
{
    const auto versions = versionsAfter(client, line.arguments[0], 0, std::numeric_limits<std::size_t>::max());
    if (!versions) {
        return ExitUnavailable;
    }
    contract::Contract before;
    for (const ContractVersion &version : *versions) {
        const contract::Contract after = parseStored(version);
        std::cout << fmt::format("version {} by {}, {}, revision {}\n", version.version, version.author, formatTime(version.acceptedAtMs), version.revision);
        std::cout << contract::describeChanges(before, after);
        before = after;
    }
    return ExitOk;
}

int where(OperatorClient &client, const CommandLine &line)
{
    const OperatorAnswer answer = client.call("GET", "/v1/contracts/" + line.arguments[0] + "/where");
    if (!answer.answered || answer.status != 200) {
        return reportUnavailable(answer);
    }
    const ContractVersion version = operatorapi::versionFromJson(answer.body["version"]);
    std::cout << fmt::format(
        "{} version {} by {}, {}, revision {}.\n", version.customer, version.version, version.author, formatTime(version.acceptedAtMs), version.revision);
    return printWhere(answer.body) ? ExitOk : ExitNotEverywhere;
}

int status(OperatorClient &client, const CommandLine &line)
{
    int code = ExitOk;
    for (const std::string &endpoint : client.endpoints()) {
        const OperatorAnswer answer = client.callOne(endpoint, "GET", "/v1/status");
        if (!answer.answered || answer.status != 200) {
            std::cout << fmt::format("{}: no answer\n", endpoint);
            code = ExitUnavailable;
            continue;
        }
        const Json::Value &body = answer.body;
        const auto revision = body["revision"].asUInt64();
        std::cout << fmt::format(
            "{}: {} {} ({}), revision {}\n", endpoint, body["instance"].asString(), body["phase"].asString(), body["freshness"].asString(), revision);
        if (line.revision >= 0 && revision < static_cast<std::uint64_t>(line.revision)) {
            std::cout << fmt::format("  revision {} is not yet in force here\n", line.revision);
            code = std::max<int>(code, ExitNotEverywhere);
        }
        for (const std::string &customer : body["contracts"].getMemberNames()) {
            std::cout << fmt::format("  {} version {}\n", customer, body["contracts"][customer].asUInt64());
        }
    }
    return code;
}

} // namespace cardamomlift::cli
