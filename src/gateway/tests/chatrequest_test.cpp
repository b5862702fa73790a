#include "gateway/chatrequest.h"

#include "http/tests/spoiltjson.h"

#include <gtest/gtest.h>

namespace cardamomlift::gateway {
namespace {

// Guards against a value of an unexpected type in a caller's request that ends the process.
TEST(ChatRequest, OddValuesAreSurvived)
{
    const std::string text = R"({"model":"m","stream":true,"max_tokens":8,"seed":7,"messages":[{"role":"user","content":"a"}]})";
    ChatRequestError error;
    ASSERT_TRUE(readChatRequest(text, error));
    http::forEachSpoiltText(text, [](const std::string &spoilt) {
        ChatRequestError ignored;
        readChatRequest(spoilt, ignored);
    });
}

} // namespace
} // namespace cardamomlift::gateway
