#include "http/json.h"

#include <memory>

namespace cardamomlift::http {

std::optional<Json::Value> parseJson(std::string_view text)
{
    Json::CharReaderBuilder builder;
    builder["allowComments"] = false;
    builder["failIfExtra"] = true;
    builder["rejectDupKeys"] = true;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    Json::Value value;
    std::string errors;
    try {
        if (!reader->parse(text.data(), text.data() + text.size(), &value, &errors)) {
            return std::nullopt;
        }
    } catch (const Json::Exception &) {
        // NOTE jsoncpp throws, instead of failing, on nesting deeper than its limit.
        return std::nullopt;
    }
    return value;
}

std::string writeJson(const Json::Value &value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    builder["emitUTF8"] = true;
    return Json::writeString(builder, value);
}

Response jsonResponse(int status, const Json::Value &value)
{
    return Response{status, {{"Content-Type", "application/json"}}, writeJson(value) + "\n"};
}

} // namespace cardamomlift::http
