#include "settings/jsontext.h"

#include <fmt/format.h>

#include <algorithm>
#include <memory>

namespace cardamomlift::settings {

namespace {

struct Position {
    int line = 1;
    int column = 1;
};

Position positionAt(std::string_view text, std::ptrdiff_t offset)
{
    Position position;
    for (std::ptrdiff_t i = 0; i < offset && i < static_cast<std::ptrdiff_t>(text.size()); i++) {
        if (text[static_cast<std::size_t>(i)] == '\n') {
            position.line++;
            position.column = 1;
        } else {
            position.column++;
        }
    }
    return position;
}

std::string oneLine(std::string text)
{
    std::replace(text.begin(), text.end(), '\n', ' ');
    return text;
}

} // namespace

std::optional<JsonText> JsonText::parse(std::string file, std::string text, Findings &findings)
{
    JsonText result;
    result.file_ = std::move(file);
    result.text_ = std::move(text);

    Json::CharReaderBuilder builder;
    builder["allowComments"] = true;
    builder["allowTrailingCommas"] = true;
    builder["rejectDupKeys"] = true;
    builder["failIfExtra"] = true;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    std::string errors;
    bool parsed = false;
    try {
        parsed = reader->parse(result.text_.data(), result.text_.data() + result.text_.size(), &result.root_, &errors);
    } catch (const Json::Exception &exception) {
        errors = exception.what();
    }
    if (parsed) {
        return result;
    }
    Finding finding;
    finding.file = result.file_;
    // jsoncpp's error messages have the form "* Line 3, Column 5\n  message".
    if (std::sscanf(errors.c_str(), "* Line %d, Column %d", &finding.line, &finding.column) == 2) {
        const auto newline = errors.find('\n');
        errors = newline == std::string::npos ? errors : errors.substr(newline + 1);
    }
    const auto first = errors.find_first_not_of(' ');
    finding.message = "not valid JSON: " + oneLine(first == std::string::npos ? errors : errors.substr(first));
    finding.remedy = "Correct the syntax at this place.";
    findings.push_back(std::move(finding));
    return std::nullopt;
}

const Json::Value &JsonText::root() const
{
    return root_;
}

Finding JsonText::findingAt(const Json::Value &value, std::string message, std::string remedy) const
{
    const Position position = positionAt(text_, value.getOffsetStart());
    return Finding{file_, position.line, position.column, std::move(message), std::move(remedy)};
}

ObjectReader::ObjectReader(const JsonText &text, const Json::Value &object, std::string what, Findings &findings)
    : text_(text)
    , object_(object)
    , what_(std::move(what))
    , findings_(findings)
{
    if (!object_.isObject()) {
        report(object_, fmt::format("{} must be an object.", what_), "Write it in braces.");
    }
}

void ObjectReader::report(const Json::Value &value, std::string message, std::string remedy)
{
    findings_.push_back(text_.findingAt(value, std::move(message), std::move(remedy)));
}

const Json::Value *ObjectReader::member(const char *name)
{
    known_.emplace_back(name);
    if (!object_.isObject() || !object_.isMember(name)) {
        return nullptr;
    }
    return &object_[name];
}

std::string ObjectReader::text(const char *name, bool required, std::string fallback)
{
    const Json::Value *value = member(name);
    if (!value) {
        if (required && object_.isObject()) {
            report(object_, fmt::format("{} has no \"{}\".", what_, name), fmt::format("Add \"{}\" with a string.", name));
        }
        return fallback;
    }
    if (!value->isString()) {
        report(*value, fmt::format("\"{}\" must be a string.", name), "Write it in double quotes.");
        return fallback;
    }
    return value->asString();
}

std::int64_t ObjectReader::number(const char *name, bool required, std::int64_t fallback, std::int64_t min, std::int64_t max)
{
    const Json::Value *value = member(name);
    if (!value) {
        if (required && object_.isObject()) {
            report(object_, fmt::format("{} has no \"{}\".", what_, name), fmt::format("Add \"{}\" with a whole number.", name));
        }
        return fallback;
    }
    if (!value->isInt64()) {
        report(*value, fmt::format("\"{}\" must be a whole number.", name), "Write digits without quotes.");
        return fallback;
    }
    const std::int64_t result = value->asInt64();
    if (result < min || result > max) {
        report(*value, fmt::format("\"{}\" is {}, which is out of range.", name, result), fmt::format("Write a number from {} to {}.", min, max));
        return fallback;
    }
    return result;
}

bool ObjectReader::boolean(const char *name, bool fallback)
{
    const Json::Value *value = member(name);
    if (!value) {
        return fallback;
    }
    if (!value->isBool()) {
        report(*value, fmt::format("\"{}\" must be true or false.", name), "Write true or false without quotes.");
        return fallback;
    }
    return value->asBool();
}

const Json::Value *ObjectReader::array(const char *name, bool required)
{
    const Json::Value *value = member(name);
    if (!value) {
        if (required && object_.isObject()) {
            report(object_, fmt::format("{} has no \"{}\".", what_, name), fmt::format("Add \"{}\" with a list.", name));
        }
        return nullptr;
    }
    if (!value->isArray()) {
        report(*value, fmt::format("\"{}\" must be a list.", name), "Write it in square brackets.");
        return nullptr;
    }
    return value;
}

void ObjectReader::rejectUnknown()
{
    if (!object_.isObject()) {
        return;
    }
    for (const std::string &name : object_.getMemberNames()) {
        if (std::find(known_.begin(), known_.end(), name) == known_.end()) {
            report(object_[name], fmt::format("{} has an unknown member \"{}\".", what_, name), fmt::format("Known members: {}.", fmt::join(known_, ", ")));
        }
    }
}

} // namespace cardamomlift::settings
