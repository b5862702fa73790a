#include "cli/commands.h"

#include "cli/toolfiles.h"
#include "contract/contractreader.h"
#include "operatorapi/operatorjson.h"
#include "text/digest.h"

#include <fmt/format.h>

#include <iostream>

namespace cardamomlift::cli {

namespace {

using contract::Contract;
using contract::ContractVersion;

constexpr std::size_t EditIdBytes = 8;
constexpr int MostRepeats = 5;
constexpr int StatusUnknown = 502;

Contract parseFile(const ContractFile &file)
{
    Findings ignored;
    return contract::readContract(file.path, file.text, ignored);
}

Contract versionAt(OperatorClient &client, const std::string &customer, std::uint64_t number)
{
    if (number == 0) {
        return {};
    }
    const auto found = versionsAfter(client, customer, number - 1, 1);
    return found && !found->empty() ? parseStored(found->front()) : Contract();
}

void printConflict(OperatorClient &client, const ContractFile &file, const ContractVersion &other, std::uint64_t base)
{
    std::cerr << fmt::format("Conflict: version {} of {} by {} came first ({}). Nothing was changed.\n",
        other.version,
        other.customer,
        other.author,
        formatTime(other.acceptedAtMs));
    std::cerr << contract::describeConflict(versionAt(client, file.customer, base), parseStored(other), parseFile(file));
    std::cerr << fmt::format("Put what you want of both into {}, then apply it with --base {}.\n", file.path, other.version);
}

int reportFindings(const OperatorAnswer &answer)
{
    std::cerr << formatFindings(operatorapi::findingsFromJson(answer.body["findings"]));
    if (answer.body["error"].get("code", "").asString() == "needs_confirmation") {
        std::cerr << "Nothing was changed. Add --confirm to apply all the same.\n";
    }
    return ExitRejected;
}

int reportAccepted(const OperatorAnswer &answer)
{
    const ContractVersion version = operatorapi::versionFromJson(answer.body["version"]);
    std::cout << fmt::format("Accepted: {} version {}, revision {}.\n", version.customer, version.version, version.revision);
    if (printWhere(answer.body)) {
        return ExitOk;
    }
    std::cout << "A VM that can't learn of an edit takes no new work after a few seconds. Look again with `where`.\n";
    return ExitNotEverywhere;
}

/// True if the edit may or may not have been accepted: the same edit id is sent again.
bool isUnknown(const OperatorAnswer &answer)
{
    if (answer.answered && answer.status != StatusUnavailable) {
        return answer.status == StatusUnknown;
    }
    return answer.mayHaveTakenEffect;
}

int sendEdit(OperatorClient &client, const CommandLine &line, const ContractFile &file, std::uint64_t base)
{
    Json::Value edit;
    edit["customer"] = file.customer;
    edit["file"] = file.path;
    edit["text"] = file.text;
    edit["author"] = line.author;
    edit["editId"] = text::randomHex(EditIdBytes);
    edit["baseVersion"] = static_cast<Json::UInt64>(base);
    edit["confirmDanger"] = line.confirm;
    bool wasUnknown = false;
    OperatorAnswer answer;
    for (int i = 0; i < MostRepeats; i++) {
        answer = client.call("POST", "/v1/contracts", edit);
        wasUnknown = wasUnknown || isUnknown(answer);
        if (!isUnknown(answer)) {
            break;
        }
    }
    if (answer.answered && answer.status == 200) {
        return reportAccepted(answer);
    }
    if (answer.answered && answer.status == 409) {
        printConflict(client, file, operatorapi::versionFromJson(answer.body["version"]), base);
        return ExitConflict;
    }
    if (answer.answered && answer.status == 422) {
        return reportFindings(answer);
    }
    if (wasUnknown) {
        std::cerr << "It is not known whether the edit was accepted. Look with `history` before you apply again.\n";
    }
    return reportUnavailable(answer);
}

// Without --base the operator is taken to know the newest version only if it is the operator's own: else the edit would
// silently undo what somebody else changed meanwhile.
int applyFile(OperatorClient &client, const CommandLine &line, const ContractFile &file)
{
    if (line.base >= 0) {
        return sendEdit(client, line, file, static_cast<std::uint64_t>(line.base));
    }
    const auto newest = newestVersion(client, file.customer);
    if (!newest) {
        return ExitUnavailable;
    }
    if (newest->version > 0 && newest->text == file.text) {
        std::cout << fmt::format("{}: nothing to change.\n", file.customer);
        return ExitOk;
    }
    if (newest->version > 0 && newest->author != line.author) {
        printConflict(client, file, *newest, newest->version - 1);
        return ExitConflict;
    }
    return sendEdit(client, line, file, newest->version);
}

bool readFiles(const CommandLine &line, std::vector<ContractFile> &files)
{
    Findings findings;
    files = readContractFiles(line.arguments[0], findings);
    std::cerr << formatFindings(findings);
    return !hasErrors(findings);
}

} // namespace

int applyFiles(OperatorClient &client, const CommandLine &line)
{
    std::vector<ContractFile> files;
    if (!readFiles(line, files)) {
        return ExitRejected;
    }
    if (files.size() > 1 && line.base >= 0) {
        std::cerr << "--base is the version of one contract: name its file.\n";
        return ExitUsage;
    }
    int code = ExitOk;
    for (const ContractFile &file : files) {
        code = std::max(code, applyFile(client, line, file));
    }
    return code;
}

int diffFiles(OperatorClient &client, const CommandLine &line)
{
    std::vector<ContractFile> files;
    if (!readFiles(line, files)) {
        return ExitRejected;
    }
    for (const ContractFile &file : files) {
        const auto newest = newestVersion(client, file.customer);
        if (!newest) {
            return ExitUnavailable;
        }
        const Contract before = newest->version == 0 ? Contract() : parseStored(*newest);
        const Contract wanted = parseFile(file);
        const std::string changes = contract::describeChanges(before, wanted);
        if (changes.empty()) {
            continue;
        }
        std::cout << fmt::format("{} against version {} by {}:\n{}", file.path, newest->version, newest->version == 0 ? "nobody" : newest->author, changes);
        const auto places = contract::ContractLocations::read(file.path, file.text);
        std::cout << formatFindings(contract::dangerousChanges(file.path, before, wanted, places));
    }
    return ExitOk;
}

int revert(OperatorClient &client, const CommandLine &line)
{
    const std::string &customer = line.arguments[0];
    const auto newest = newestVersion(client, customer);
    if (!newest) {
        return ExitUnavailable;
    }
    const std::uint64_t wanted = line.arguments.size() > 1 ? std::strtoull(line.arguments[1].c_str(), nullptr, 10) : newest->version - 1;
    if (newest->version < 2 || wanted < 1 || wanted >= newest->version) {
        std::cerr << "There is no such earlier version.\n";
        return ExitUsage;
    }
    const auto earlier = versionsAfter(client, customer, wanted - 1, 1);
    if (!earlier || earlier->empty()) {
        return ExitUnavailable;
    }
    const std::uint64_t base = line.base >= 0 ? static_cast<std::uint64_t>(line.base) : newest->version;
    return sendEdit(client, line, {fmt::format("version {} of {}", wanted, customer), customer, earlier->front().text}, base);
}

int checkFiles(const CommandLine &line)
{
    if (line.arguments.empty()) {
        std::cerr << "check needs a file or a directory.\n";
        return ExitUsage;
    }
    std::vector<ContractFile> files;
    return readFiles(line, files) ? ExitOk : ExitRejected;
}

} // namespace cardamomlift::cli
