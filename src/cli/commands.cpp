#include "cli/commands.h"

#include "contract/contractreader.h"
#include "operatorapi/operatorjson.h"
#include "text/digest.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>

namespace cardamomlift::cli {

namespace {

using contract::ContractVersion;

constexpr std::size_t EditIdBytes = 8;
constexpr int MostRepeats = 5;

std::optional<std::string> readFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        std::cerr << path << ": error: can't be read. Check the path.\n";
        return std::nullopt;
    }
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

int reportUnavailable(const OperatorAnswer &answer)
{
    std::cerr << "No daemon gave an answer. " << answer.error << answer.body["error"].get("message", "").asString() << "\n";
    return ExitUnavailable;
}

std::string formatTime(std::int64_t milliseconds)
{
    return fmt::format("{:%Y-%m-%d %H:%M:%S} UTC", fmt::gmtime(static_cast<std::time_t>(milliseconds / 1000)));
}

/// The newest version of @p customer; version 0 if there is none; empty if no daemon answered.
std::optional<ContractVersion> newestVersion(OperatorClient &client, const std::string &customer)
{
    const OperatorAnswer answer = client.call("GET", "/v1/contracts/" + customer);
    if (answer.status == 404) {
        return ContractVersion{};
    }
    if (!answer.answered || answer.status != 200) {
        reportUnavailable(answer);
        return std::nullopt;
    }
    return operatorapi::versionFromJson(answer.body);
}

contract::Contract parseStored(const ContractVersion &version)
{
    Findings ignored;
    return contract::readContract(version.customer, version.text, ignored);
}

int reportConflict(const contract::Contract &wanted, const OperatorAnswer &answer)
{
    const ContractVersion other = operatorapi::versionFromJson(answer.body["version"]);
    std::cerr << fmt::format("Conflict: version {} by {} came first ({}). Nothing was changed.\n", other.version, other.author, formatTime(other.acceptedAtMs));
    std::cerr << "What yours would change in it:\n" << contract::describeChanges(parseStored(other), wanted);
    std::cerr << "Look at it, then apply again.\n";
    return ExitConflict;
}

int reportFindings(const OperatorAnswer &answer)
{
    std::cerr << formatFindings(operatorapi::findingsFromJson(answer.body["findings"]));
    if (answer.body["error"].get("code", "").asString() == "needs_confirmation") {
        std::cerr << "Nothing was changed. Add --confirm to apply all the same.\n";
    }
    return ExitRejected;
}

/// Sends one edit; repeats it with the same edit id while its answer is lost.
int sendEdit(OperatorClient &client, const Json::Value &edit, const contract::Contract &wanted)
{
    OperatorAnswer answer;
    for (int i = 0; i < MostRepeats; i++) {
        answer = client.call("POST", "/v1/contracts", edit);
        const bool unknown = !answer.answered ? answer.mayHaveTakenEffect : answer.status == 502;
        if (!unknown) {
            break;
        }
    }
    if (answer.status == 200) {
        const ContractVersion version = operatorapi::versionFromJson(answer.body["version"]);
        std::cout << fmt::format("Accepted: {} version {}, revision {}.\n", version.customer, version.version, version.revision);
        return ExitOk;
    }
    if (answer.status == 409) {
        return reportConflict(wanted, answer);
    }
    if (answer.status == 422) {
        return reportFindings(answer);
    }
    if (!answer.answered || answer.status == 502) {
        std::cerr << "It is not known whether the edit was accepted. Look with `history` before you apply again.\n";
    }
    return reportUnavailable(answer);
}

int applyText(OperatorClient &client, const CommandLine &line, const std::string &file, const std::string &text)
{
    Findings findings;
    const contract::Contract wanted = contract::readContract(file, text, findings);
    if (hasErrors(findings)) {
        std::cerr << formatFindings(findings);
        return ExitRejected;
    }
    std::int64_t base = line.base;
    if (base < 0) {
        const auto newest = newestVersion(client, wanted.customer);
        if (!newest) {
            return ExitUnavailable;
        }
        base = static_cast<std::int64_t>(newest->version);
        if (base > 0 && newest->text == text) {
            std::cout << "Nothing to change.\n";
            return ExitOk;
        }
    }
    Json::Value edit;
    edit["customer"] = wanted.customer;
    edit["file"] = file;
    edit["text"] = text;
    edit["author"] = line.author;
    edit["editId"] = text::randomHex(EditIdBytes);
    edit["baseVersion"] = static_cast<Json::Int64>(base);
    edit["confirmDanger"] = line.confirm;
    return sendEdit(client, edit, wanted);
}

int apply(OperatorClient &client, const CommandLine &line)
{
    const auto text = readFile(line.arguments[0]);
    return text ? applyText(client, line, line.arguments[0], *text) : ExitUsage;
}

int diff(OperatorClient &client, const CommandLine &line)
{
    const std::string &file = line.arguments[0];
    const auto text = readFile(file);
    if (!text) {
        return ExitUsage;
    }
    Findings findings;
    const contract::Contract wanted = contract::readContract(file, *text, findings);
    if (hasErrors(findings)) {
        std::cerr << formatFindings(findings);
        return ExitRejected;
    }
    const auto newest = newestVersion(client, wanted.customer);
    if (!newest) {
        return ExitUnavailable;
    }
    const contract::Contract before = newest->version == 0 ? contract::Contract() : parseStored(*newest);
    std::cout << contract::describeChanges(before, wanted) << formatFindings(contract::dangerousChanges(file, before, wanted));
    return ExitOk;
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
    std::cout << newest->text;
    return ExitOk;
}

std::optional<std::vector<ContractVersion>> readHistory(OperatorClient &client, const std::string &customer)
{
    const OperatorAnswer answer = client.call("GET", "/v1/contracts/" + customer + "/history");
    if (!answer.answered || answer.status != 200) {
        reportUnavailable(answer);
        return std::nullopt;
    }
    std::vector<ContractVersion> versions;
    for (const Json::Value &json : answer.body["versions"]) {
        versions.push_back(operatorapi::versionFromJson(json));
    }
    return versions;
}

int history(OperatorClient &client, const CommandLine &line)
{
    const auto versions = readHistory(client, line.arguments[0]);
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

int revert(OperatorClient &client, const CommandLine &line)
{
    const auto versions = readHistory(client, line.arguments[0]);
    if (!versions) {
        return ExitUnavailable;
    }
    const std::size_t newest = versions->size();
    const std::size_t wanted = line.arguments.size() > 1 ? std::strtoull(line.arguments[1].c_str(), nullptr, 10) : newest - 1;
    if (newest < 2 || wanted < 1 || wanted >= newest) {
        std::cerr << "There is no such earlier version.\n";
        return ExitUsage;
    }
    CommandLine edit = line;
    edit.base = static_cast<std::int64_t>(newest);
    return applyText(client, edit, line.arguments[0], (*versions)[wanted - 1].text);
}

int status(OperatorClient &client, const CommandLine &)
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
        std::cout << fmt::format("{}: {} {}, revision {}\n", endpoint, body["instance"].asString(), body["phase"].asString(), body["revision"].asUInt64());
        for (const std::string &customer : body["contracts"].getMemberNames()) {
            std::cout << fmt::format("  {} version {}\n", customer, body["contracts"][customer].asUInt64());
        }
    }
    return code;
}

struct Command {
    std::string_view name;
    std::size_t leastArguments;
    int (*run)(OperatorClient &client, const CommandLine &line);
};

constexpr std::array<Command, 6> Commands{{
    {"apply", 1, &apply},
    {"diff", 1, &diff},
    {"show", 1, &show},
    {"history", 1, &history},
    {"revert", 1, &revert},
    {"status", 0, &status},
}};

} // namespace

int checkFile(const CommandLine &line)
{
    if (line.arguments.empty()) {
        std::cerr << "check needs a file.\n";
        return ExitUsage;
    }
    const auto text = readFile(line.arguments[0]);
    if (!text) {
        return ExitUsage;
    }
    Findings findings;
    contract::readContract(line.arguments[0], *text, findings);
    std::cerr << formatFindings(findings);
    return hasErrors(findings) ? ExitRejected : ExitOk;
}

int hashKey()
{
    std::string key;
    std::getline(std::cin, key);
    std::cout << text::sha256Hex(key) << "\n";
    return ExitOk;
}

int runCommand(OperatorClient &client, const CommandLine &line)
{
    for (const Command &command : Commands) {
        if (command.name != line.command) {
            continue;
        }
        if (line.arguments.size() < command.leastArguments) {
            std::cerr << line.command << " needs " << command.leastArguments << " argument(s).\n";
            return ExitUsage;
        }
        return command.run(client, line);
    }
    std::cerr << "Unknown command \"" << line.command << "\".\n";
    return ExitUsage;
}

} // namespace cardamomlift::cli
