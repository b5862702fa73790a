#include "http/json.h"

#include <memory>
#include <sstream>

namespace cardamomlift::http {

namespace {

// Readers and writers are kept, one a thread: their builders cost more than reading a token's chunk does.
Json::CharReader &threadReader()
{
    thread_local const std::unique_ptr<Json::CharReader> Reader = [] {
        Json::CharReaderBuilder builder;
        builder["allowComments"] = false;
        builder["failIfExtra"] = true;
        builder["rejectDupKeys"] = true;
        return std::unique_ptr<Json::CharReader>(builder.newCharReader());
    }();
    return *Reader;
}

Json::StreamWriter &threadWriter()
{
    thread_local const std::unique_ptr<Json::StreamWriter> Writer = [] {
        Json::StreamWriterBuilder builder;
        builder["indentation"] = "";
        builder["emitUTF8"] = true;
        return std::unique_ptr<Json::StreamWriter>(builder.newStreamWriter());
    }();
    return *Writer;
}

} // namespace

std::optional<Json::Value> parseJson(std::string_view text)
{
    Json::Value value;
    std::string errors;
    try {
        if (!threadReader().parse(text.data(), text.data() + text.size(), &value, &errors)) {
            return std::nullopt;
        }
    } catch (const Json::Exception &) {
        // NOTE jsoncpp throws, instead of failing, on nesting deeper than its limit.
        return std::nullopt;
    }
    return value;
}

const Json::Value &jsonMember(const Json::Value &object, const char *name)
{
    return object.isObject() ? object[name] : Json::Value::nullSingleton();
}

std::string jsonText(const Json::Value &object, const char *name, const std::string &fallback)
{
    const Json::Value &value = jsonMember(object, name);
    return value.isString() ? value.asString() : fallback;
}

std::int64_t jsonInteger(const Json::Value &object, const char *name, std::int64_t fallback)
{
    const Json::Value &value = jsonMember(object, name);
    return value.isInt64() ? value.asInt64() : fallback;
}

std::uint64_t jsonUnsigned(const Json::Value &object, const char *name, std::uint64_t fallback)
{
    const Json::Value &value = jsonMember(object, name);
    return value.isUInt64() ? value.asUInt64() : fallback;
}

bool jsonFlag(const Json::Value &object, const char *name, bool fallback)
{
    const Json::Value &value = jsonMember(object, name);
    return value.isBool() ? value.asBool() : fallback;
}

std::string writeJson(const Json::Value &value)
{
    std::ostringstream text;
    threadWriter().write(value, &text);
    return std::move(text).str();
}

Response jsonResponse(int status, const Json::Value &value)
{
    return Response{status, {{"Content-Type", "application/json"}}, writeJson(value) + "\n"};
}

} // namespace cardamomlift::http
