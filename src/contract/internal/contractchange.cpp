#include "contract/contractreader.h"

#include <fmt/format.h>

#include <cstdlib>
#include <map>
#include <set>

namespace cardamomlift::contract {

namespace {

constexpr std::int64_t SuspiciousFactor = 1000; ///< A change by this factor is probably a wrong unit.

/// The values of a contract by path, for comparison.
struct FlatContract {
    std::map<std::string, std::int64_t> numbers;
    std::map<std::string, std::string> texts;
};

FlatContract flatten(const Contract &contract)
{
    FlatContract flat;
    flat.texts["name"] = contract.name;
    for (const ApiKey &key : contract.keys) {
        flat.texts["keys." + key.name] = key.sha256.substr(0, 8) + "...";
    }
    for (const ServiceClass &entry : contract.classes) {
        const std::string path = "classes." + entry.name;
        flat.texts[path + ".priority"] = priorityName(entry.priority);
        flat.numbers[path + ".firstTokenMs"] = entry.firstTokenMs;
        flat.numbers[path + ".betweenTokensMs"] = entry.betweenTokensMs;
        flat.numbers[path + ".waitUpToMs"] = entry.waitUpToMs;
    }
    for (const ModelGrant &grant : contract.models) {
        const std::string path = "models." + grant.model;
        flat.texts[path + ".class"] = grant.serviceClass;
        flat.numbers[path + ".maxOutputTokens"] = grant.maxOutputTokens;
    }
    for (const ServiceGrant &grant : contract.services) {
        const std::string path = "services." + grant.service + grant.path;
        flat.texts[path + ".class"] = grant.serviceClass;
        flat.texts[path + ".idempotent"] = grant.idempotent ? "true" : "false";
        flat.numbers[path + ".timeoutMs"] = grant.timeoutMs;
    }
    flat.numbers["limits.requestsPerSecond"] = contract.limits.requestsPerSecond;
    flat.numbers["limits.openRequests"] = contract.limits.openRequests;
    flat.numbers["limits.tokensPerMinute"] = contract.limits.tokensPerMinute;
    flat.numbers["spending.perDayCents"] = contract.spending.perDayCents;
    flat.numbers["spending.centsPerMillionTokens"] = contract.spending.centsPerMillionTokens;
    flat.numbers["spending.centsPerThousandCalls"] = contract.spending.centsPerThousandCalls;
    return flat;
}

std::map<std::string, std::string> toTexts(const FlatContract &flat)
{
    std::map<std::string, std::string> all = flat.texts;
    for (const auto &[path, number] : flat.numbers) {
        all[path] = std::to_string(number);
    }
    return all;
}

bool isSuspiciousChange(std::int64_t before, std::int64_t after)
{
    if (before <= 0 || after <= 0) {
        return false;
    }
    return after >= before * SuspiciousFactor || before >= after * SuspiciousFactor;
}

/// True for the path that stands for a whole key, model or service: exactly one per item, so a removal is reported once.
bool isGrant(std::string_view path)
{
    return path.starts_with("keys.") || ((path.starts_with("models.") || path.starts_with("services.")) && path.ends_with(".class"));
}

/// The changes between two contracts by path, each as "before -> after".
std::map<std::string, std::string> changesByPath(const Contract &before, const Contract &after)
{
    const auto old = toTexts(flatten(before));
    const auto now = toTexts(flatten(after));
    std::map<std::string, std::string> changes;
    for (const auto &[path, value] : old) {
        const auto found = now.find(path);
        if (found == now.end()) {
            changes[path] = value + " -> (removed)";
        } else if (found->second != value) {
            changes[path] = value + " -> " + found->second;
        }
    }
    for (const auto &[path, value] : now) {
        if (!old.contains(path)) {
            changes[path] = "(new) -> " + value;
        }
    }
    return changes;
}

} // namespace

Findings dangerousChanges(const std::string &file, const Contract &before, const Contract &after, const ContractLocations &locations)
{
    Findings findings;
    const auto report = [&](const std::string &path, const std::string &problem, const std::string &remedy) {
        Finding finding{file, 0, 0, path + " " + problem, remedy, Severity::Danger};
        locations.locate(finding, path);
        findings.push_back(std::move(finding));
    };
    const FlatContract old = flatten(before);
    const FlatContract now = flatten(after);
    for (const auto &[path, number] : now.numbers) {
        const auto found = old.numbers.find(path);
        if (found == old.numbers.end()) {
            continue;
        }
        if (number == 0 && found->second > 0) {
            report(path, fmt::format("is cut from {} to 0.", found->second), "Confirm if nothing more is to be allowed.");
        } else if (isSuspiciousChange(found->second, number)) {
            report(path, fmt::format("changes from {} to {}, by a factor of 1000 or more.", found->second, number), "Check the unit.");
        }
    }
    for (const auto &[path, text] : old.texts) {
        const auto found = now.texts.find(path);
        if (found == now.texts.end() && isGrant(path)) {
            report(path, "is removed.", "Confirm if its callers are to be refused.");
        } else if (found != now.texts.end() && path.ends_with(".idempotent") && text == "false" && found->second == "true") {
            report(path, "becomes true: calls may run more than once.", "Confirm if a repeat does no harm.");
        }
    }
    return findings;
}

std::string describeChanges(const Contract &before, const Contract &after)
{
    std::string text;
    for (const auto &[path, change] : changesByPath(before, after)) {
        text += fmt::format("{}: {}\n", path, change);
    }
    return text;
}

std::string describeConflict(const Contract &base, const Contract &theirs, const Contract &mine)
{
    const auto theirChanges = changesByPath(base, theirs);
    const auto myChanges = changesByPath(base, mine);
    std::string onlyTheirs;
    std::string onlyMine;
    std::string both;
    for (const auto &[path, change] : theirChanges) {
        const auto found = myChanges.find(path);
        if (found == myChanges.end()) {
            onlyTheirs += fmt::format("  {}: {}\n", path, change);
        } else if (found->second != change) {
            both += fmt::format("  {}: theirs {}, yours {}\n", path, change, found->second);
        }
    }
    for (const auto &[path, change] : myChanges) {
        if (!theirChanges.contains(path)) {
            onlyMine += fmt::format("  {}: {}\n", path, change);
        }
    }
    std::string text;
    text += onlyTheirs.empty() ? "" : "Only the other edit changes:\n" + onlyTheirs;
    text += onlyMine.empty() ? "" : "Only your edit changes:\n" + onlyMine;
    text += both.empty() ? "" : "Both change, differently:\n" + both;
    return text;
}

} // namespace cardamomlift::contract
