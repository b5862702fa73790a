#include "http/json.h"

#include <gtest/gtest.h>

#include <thread>

namespace cardamomlift::http {
namespace {

constexpr char Chunk[] = R"({"a":[1,"two",{"three":null}],"b":" w1"})";

// The reader is kept between texts: nothing of a text that failed may show in the next.
TEST(Json, AWrongTextLeavesNothingBehind)
{
    const std::string tooDeep(5000, '[');
    const std::vector<std::string> wrongTexts{tooDeep, "{\"a\":", "{\"a\":1,\"a\":2}", "{} {}", "/*c*/{}", ""};
    for (const std::string &wrong : wrongTexts) {
        EXPECT_FALSE(parseJson(wrong)) << wrong.substr(0, 20);
        const auto right = parseJson(Chunk);
        ASSERT_TRUE(right);
        EXPECT_EQ(writeJson(*right), Chunk);
    }
}

TEST(Json, WritesOneLineEachTime)
{
    Json::Value value;
    value["text"] = "grüezi \n \"you\"";
    const std::string first = writeJson(value);
    EXPECT_EQ(first, "{\"text\":\"grüezi \\n \\\"you\\\"\"}");
    EXPECT_EQ(writeJson(Json::Value(1)), "1");
    EXPECT_EQ(writeJson(value), first);
}

TEST(Json, ThreadsDoNotShareAReader)
{
    std::string written;
    std::thread other([&] { written = writeJson(*parseJson(Chunk)); });
    EXPECT_EQ(writeJson(*parseJson(Chunk)), Chunk);
    other.join();
    EXPECT_EQ(written, Chunk);
}

} // namespace
} // namespace cardamomlift::http
