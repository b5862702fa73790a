#pragma once

#include "kernel/finding.h"

#include <json/json.h>

#include <optional>
#include <string>
#include <string_view>

namespace cardamomlift::settings {

/// A JSON text with comments, with the place of each value.
class JsonText
{
public:
    /// Parses @p text. On failure adds findings and returns nothing.
    static std::optional<JsonText> parse(std::string file, std::string text, Findings &findings);

    const Json::Value &root() const;
    /// A finding at the place of @p value, which must be a part of root().
    Finding findingAt(const Json::Value &value, std::string message, std::string remedy) const;

private:
    JsonText() = default;
    std::string file_;
    std::string text_;
    Json::Value root_;
};

/// Reads the members of one JSON object, collecting findings: wrong types, values out of range, unknown members.
class ObjectReader
{
public:
    /// @p object may be of any type; if it isn't an object that is a finding and all reads give their defaults.
    ObjectReader(const JsonText &text, const Json::Value &object, std::string what, Findings &findings);

    /// A text member. @p required: a missing one is a finding.
    std::string text(const char *name, bool required, std::string fallback = {});
    /// A whole number from @p low to @p high.
    std::int64_t number(const char *name, bool required, std::int64_t fallback, std::int64_t low, std::int64_t high);
    bool boolean(const char *name, bool fallback);
    /// The member, or null if missing. It counts as known.
    const Json::Value *member(const char *name);
    /// The member as an array; a wrong type is a finding; missing gives null.
    const Json::Value *array(const char *name, bool required);
    /// Reports every member that was not asked for. Call it last.
    void rejectUnknown();
    void report(const Json::Value &place, std::string message, std::string remedy);

private:
    const JsonText &text_;
    const Json::Value &object_;
    std::string what_;
    Findings &findings_;
    std::vector<std::string> known_;
};

} // namespace cardamomlift::settings
