#include "contract/contractreader.h"

#include "settings/jsontext.h"

#include <algorithm>
#include <set>

namespace cardamomlift::contract {

namespace {

using settings::JsonText;
using settings::ObjectReader;

constexpr std::size_t Sha256HexLength = 64;
constexpr std::size_t MaxNameLength = 64;
constexpr std::int64_t MaxMs = 24LL * 3600 * 1000;
constexpr std::int64_t MaxRequests = 1'000'000;
constexpr std::int64_t MaxTokens = 10'000'000'000;
constexpr std::int64_t MaxCents = 100'000'000;

bool isName(std::string_view text)
{
    const auto allowed = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-';
    };
    return !text.empty() && text.size() <= MaxNameLength && std::all_of(text.begin(), text.end(), allowed);
}

bool isSha256(std::string_view text)
{
    const auto allowed = [](char c) {
        return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
    };
    return text.size() == Sha256HexLength && std::all_of(text.begin(), text.end(), allowed);
}

/// Reads each element of the array @p name by @p readOne(reader, element).
template<class ReadOne>
void readList(const JsonText &text, ObjectReader &owner, const char *name, bool required, const char *what, Findings &findings, ReadOne readOne)
{
    const Json::Value *list = owner.array(name, required);
    if (!list) {
        return;
    }
    for (const Json::Value &element : *list) {
        ObjectReader reader(text, element, what, findings);
        readOne(reader, element);
        reader.rejectUnknown();
    }
}

void checkUnique(const JsonText &text, const Json::Value &json, std::set<std::string> &seen, const std::string &name, Findings &findings)
{
    if (!name.empty() && !seen.insert(name).second) {
        findings.push_back(text.findingAt(json, "\"" + name + "\" appears more than once.", "Remove one of the two."));
    }
}

Priority readPriority(const JsonText &text, ObjectReader &reader, const Json::Value &json, Findings &findings)
{
    const std::string name = reader.text("priority", true, "normal");
    for (const Priority priority : {Priority::Urgent, Priority::Normal, Priority::Deferrable}) {
        if (priorityName(priority) == name) {
            return priority;
        }
    }
    const Json::Value &location = json.isMember("priority") ? json["priority"] : json;
    findings.push_back(text.findingAt(location, "Unknown priority \"" + name + "\".", "Write urgent, normal or deferrable."));
    return Priority::Normal;
}

ServiceClass readClass(const JsonText &text, ObjectReader &reader, const Json::Value &json, Findings &findings)
{
    ServiceClass result;
    result.name = reader.text("name", true);
    result.priority = readPriority(text, reader, json, findings);
    result.firstTokenMs = reader.number("firstTokenMs", true, 0, 1, MaxMs);
    result.betweenTokensMs = reader.number("betweenTokensMs", false, 0, 0, MaxMs);
    result.waitUpToMs = reader.number("waitUpToMs", false, 0, 0, MaxMs);
    if (result.priority == Priority::Urgent && result.waitUpToMs > result.firstTokenMs) {
        reader.report(json, "An urgent class may wait longer than its latency target.", "Lower \"waitUpToMs\" or raise \"firstTokenMs\".");
    }
    return result;
}

void checkClass(const JsonText &text, const Contract &contract, const std::string &name, const Json::Value &json, Findings &findings)
{
    if (name.empty() || findClass(contract, name)) {
        return;
    }
    findings.push_back(text.findingAt(json["class"], "Unknown class \"" + name + "\".", "Name one of \"classes\", or add it there."));
}

ApiKey readKey(const JsonText &text, ObjectReader &reader, const Json::Value &json)
{
    ApiKey key{reader.text("name", true), reader.text("sha256", true)};
    if (!json.isObject() || !json.isMember("sha256")) {
        return key;
    }
    const Finding location = text.findingAt(json["sha256"], {}, {});
    key.line = location.line;
    key.column = location.column;
    if (!key.sha256.empty() && !isSha256(key.sha256)) {
        reader.report(json["sha256"], "\"sha256\" is not a SHA-256 hash.", "Write the 64 hex digits that `cardamomlift hash-key` prints.");
    }
    return key;
}

void readKeys(const JsonText &text, ObjectReader &owner, Contract &contract, Findings &findings)
{
    std::set<std::string> names;
    std::set<std::string> hashes;
    readList(text, owner, "keys", true, "a key", findings, [&](ObjectReader &reader, const Json::Value &json) {
        contract.keys.push_back(readKey(text, reader, json));
        checkUnique(text, json, names, contract.keys.back().name, findings);
        checkUnique(text, json, hashes, contract.keys.back().sha256, findings);
    });
}

void readClasses(const JsonText &text, ObjectReader &owner, Contract &contract, Findings &findings)
{
    std::set<std::string> seen;
    readList(text, owner, "classes", true, "a class", findings, [&](ObjectReader &reader, const Json::Value &json) {
        contract.classes.push_back(readClass(text, reader, json, findings));
        checkUnique(text, json, seen, contract.classes.back().name, findings);
    });
}

void readModels(const JsonText &text, ObjectReader &owner, Contract &contract, Findings &findings)
{
    std::set<std::string> seen;
    readList(text, owner, "models", false, "a model", findings, [&](ObjectReader &reader, const Json::Value &json) {
        ModelGrant grant;
        grant.model = reader.text("model", true);
        grant.serviceClass = reader.text("class", true);
        grant.maxOutputTokens = reader.number("maxOutputTokens", true, 0, 1, MaxTokens);
        checkClass(text, contract, grant.serviceClass, json, findings);
        checkUnique(text, json, seen, grant.model, findings);
        contract.models.push_back(std::move(grant));
    });
}

void readServices(const JsonText &text, ObjectReader &owner, Contract &contract, Findings &findings)
{
    std::set<std::string> seen;
    readList(text, owner, "services", false, "a service", findings, [&](ObjectReader &reader, const Json::Value &json) {
        ServiceGrant grant;
        grant.service = reader.text("service", true);
        grant.path = reader.text("path", true);
        grant.serviceClass = reader.text("class", true);
        grant.idempotent = reader.boolean("idempotent", true);
        grant.timeoutMs = reader.number("timeoutMs", true, 0, 1, MaxMs);
        if (!grant.path.empty() && grant.path.front() != '/') {
            reader.report(json["path"], "\"path\" must start with a slash.", "Write it as in \"/orders\".");
        }
        checkClass(text, contract, grant.serviceClass, json, findings);
        checkUnique(text, json, seen, grant.service + " " + grant.path, findings);
        contract.services.push_back(std::move(grant));
    });
}

void readLimits(const JsonText &text, ObjectReader &owner, Contract &contract, Findings &findings)
{
    const Json::Value *value = owner.member("limits");
    if (!value) {
        owner.report(text.root(), "The contract has no \"limits\".", "Add \"limits\" with requestsPerSecond, openRequests and tokensPerMinute.");
        return;
    }
    ObjectReader reader(text, *value, "\"limits\"", findings);
    contract.limits.requestsPerSecond = reader.number("requestsPerSecond", true, 0, 0, MaxRequests);
    contract.limits.openRequests = reader.number("openRequests", true, 0, 0, MaxRequests);
    contract.limits.tokensPerMinute = reader.number("tokensPerMinute", true, 0, 0, MaxTokens);
    reader.rejectUnknown();
}

void readSpending(const JsonText &text, ObjectReader &owner, Contract &contract, Findings &findings)
{
    const Json::Value *value = owner.member("spending");
    if (!value) {
        owner.report(text.root(), "The contract has no \"spending\".", "Add \"spending\" with perDayCents and the two prices.");
        return;
    }
    ObjectReader reader(text, *value, "\"spending\"", findings);
    contract.spending.perDayCents = reader.number("perDayCents", true, 0, 0, MaxCents);
    contract.spending.centsPerMillionTokens = reader.number("centsPerMillionTokens", true, 0, 0, MaxCents);
    contract.spending.centsPerThousandCalls = reader.number("centsPerThousandCalls", true, 0, 0, MaxCents);
    reader.rejectUnknown();
}

} // namespace

Contract readContract(const std::string &file, const std::string &content, Findings &findings)
{
    Contract contract;
    const auto text = JsonText::parse(file, content, findings);
    if (!text) {
        return contract;
    }
    ObjectReader reader(*text, text->root(), "the contract", findings);
    if (!text->root().isObject()) {
        return contract;
    }
    contract.customer = reader.text("customer", true);
    if (!contract.customer.empty() && !isName(contract.customer)) {
        reader.report(text->root()["customer"], "\"customer\" is not a valid name.", "Use up to 64 lower-case letters, digits and hyphens.");
    }
    contract.name = reader.text("name", false, contract.customer);
    readKeys(*text, reader, contract, findings);
    readClasses(*text, reader, contract, findings);
    readModels(*text, reader, contract, findings);
    readServices(*text, reader, contract, findings);
    readLimits(*text, reader, contract, findings);
    readSpending(*text, reader, contract, findings);
    reader.rejectUnknown();
    return contract;
}

} // namespace cardamomlift::contract
