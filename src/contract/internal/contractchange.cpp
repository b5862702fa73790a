#include "contract/contractreader.h"

#include <fmt/format.h>

#include <cstdlib>
#include <map>
#include <set>

namespace cardamomlift::contract {

namespace {

constexpr std::int64_t SlipFactor = 1000;

/// A contract flattened to "path" -> value, for comparing.
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

std::map<std::string, std::string> asTexts(const FlatContract &flat)
{
    std::map<std::string, std::string> all = flat.texts;
    for (const auto &[path, number] : flat.numbers) {
        all[path] = std::to_string(number);
    }
    return all;
}

Finding danger(const std::string &file, std::string message, std::string remedy)
{
    return Finding{file, 0, 0, std::move(message), std::move(remedy), Severity::Danger};
}

bool isSlip(std::int64_t before, std::int64_t after)
{
    if (before <= 0 || after <= 0) {
        return false;
    }
    return after >= before * SlipFactor || before >= after * SlipFactor;
}

} // namespace

Findings dangerousChanges(const std::string &file, const Contract &before, const Contract &after)
{
    Findings findings;
    const FlatContract old = flatten(before);
    const FlatContract now = flatten(after);
    for (const auto &[path, number] : now.numbers) {
        const auto found = old.numbers.find(path);
        if (found == old.numbers.end()) {
            continue;
        }
        if (number == 0 && found->second > 0) {
            findings.push_back(danger(file, fmt::format("{} is cut from {} to 0.", path, found->second), "Confirm if nothing more is to be allowed."));
        } else if (isSlip(found->second, number)) {
            findings.push_back(danger(file, fmt::format("{} changes from {} to {}, a thousandfold.", path, found->second, number), "Check the unit."));
        }
    }
    for (const auto &[path, text] : old.texts) {
        const bool isGrant = path.starts_with("models.") || path.starts_with("services.") || path.starts_with("keys.");
        if (isGrant && !path.ends_with(".idempotent") && !now.texts.contains(path)) {
            findings.push_back(danger(file, fmt::format("{} is taken away.", path), "Confirm if its callers are to be refused."));
        }
        const auto found = now.texts.find(path);
        if (path.ends_with(".idempotent") && found != now.texts.end() && text == "false" && found->second == "true") {
            findings.push_back(danger(file, fmt::format("{} becomes true: calls may run more than once.", path), "Confirm if a repeat does no harm."));
        }
    }
    return findings;
}

std::string describeChanges(const Contract &before, const Contract &after)
{
    const auto old = asTexts(flatten(before));
    const auto now = asTexts(flatten(after));
    std::string text;
    for (const auto &[path, value] : old) {
        const auto found = now.find(path);
        if (found == now.end()) {
            text += fmt::format("{}: {} -> (removed)\n", path, value);
        } else if (found->second != value) {
            text += fmt::format("{}: {} -> {}\n", path, value, found->second);
        }
    }
    for (const auto &[path, value] : now) {
        if (!old.contains(path)) {
            text += fmt::format("{}: (new) -> {}\n", path, value);
        }
    }
    return text;
}

} // namespace cardamomlift::contract
