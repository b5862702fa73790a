#pragma once

#include "kernel/finding.h"

#include <json/json.h>

#include <optional>
#include <string>
#include <string_view>

namespace cardamomlift::settings {

/// A parsed JSON text, which may contain comments, that knows the line and column of each value.
class JsonText
{
public:
    /// Parses @p text. Empty on failure, with the reason added to @p findings.
    static std::optional<JsonText> parse(std::string file, std::string text, Findings &findings);

    const Json::Value &root() const;
    /// Makes a finding that points to @p value, which must be a part of root().
    Finding findingAt(const Json::Value &value, std::string message, std::string remedy) const;

private:
    JsonText() = default;
    std::string file_;
    std::string text_;
    Json::Value root_;
};

/// Reads the members of a JSON object and collects findings: wrong types, values out of range, unknown members.
class ObjectReader
{
public:
    /// @p what names the object in messages. If @p object is not an object, this is a finding and all reads return fallbacks.
    ObjectReader(const JsonText &text, const Json::Value &object, std::string what, Findings &findings);

    /// A string member. If it is missing and @p required, this is a finding.
    std::string text(const char *name, bool required, std::string fallback = {});
    /// An integer from @p min to @p max.
    std::int64_t number(const char *name, bool required, std::int64_t fallback, std::int64_t min, std::int64_t max);
    bool boolean(const char *name, bool fallback);
    /// The member, of any type; null if it is missing.
    const Json::Value *member(const char *name);
    /// A member that is an array; null if it is missing, or of another type, which is a finding.
    const Json::Value *array(const char *name, bool required);
    /// Reports each member that was not read before as unknown. To be called last.
    void rejectUnknown();
    /// Adds a finding that points to @p value.
    void report(const Json::Value &value, std::string message, std::string remedy);

private:
    const JsonText &text_;
    const Json::Value &object_;
    std::string what_;
    Findings &findings_;
    std::vector<std::string> known_;
};

} // namespace cardamomlift::settings
