#pragma once

#include "http/json.h"

#include <functional>
#include <iterator>
#include <string>

namespace cardamomlift::http {

/// Values that hardly any reader expects: of other types, and out of the range of all whole numbers.
inline constexpr const char *OddValues[] = {
    "null", "[]", "{}", "[7]", "{\"a\":7}", "true", "\"\"", "-1", "7.5", "1e300", "7171717171717171717171", "18446744073709551615"};

/// Calls @p read with texts in each of which one value of @p value, at any depth, is replaced by an odd one.
inline void forEachSpoiltCopy(const Json::Value &value, const std::function<void(const std::string &text)> &read)
{
    for (const char *odd : OddValues) {
        read(odd);
    }
    for (Json::ArrayIndex i = 0; value.isArray() && i < value.size(); i++) {
        forEachSpoiltCopy(value[i], [&](const std::string &text) {
            Json::Value copy = value;
            copy[i] = *parseJson("[" + text + "]")->begin();
            read(writeJson(copy));
        });
    }
    for (const std::string &name : value.isObject() ? value.getMemberNames() : Json::Value::Members()) {
        forEachSpoiltCopy(value[name], [&](const std::string &text) {
            Json::Value copy = value;
            copy[name] = *parseJson("[" + text + "]")->begin();
            read(writeJson(copy));
        });
    }
}

/// The same for a JSON text.
inline void forEachSpoiltText(const std::string &text, const std::function<void(const std::string &text)> &read)
{
    forEachSpoiltCopy(*parseJson(text), read);
}

} // namespace cardamomlift::http
