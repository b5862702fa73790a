// What the tests of routing, limits and recovery take for granted of the model engine's stand-in.

#include "support/fleet.h"

#include "http/json.h"

#include <gtest/gtest.h>

using namespace cardamomlift;

namespace {

class StandinEngine : public testing::Test
{
protected:
    void start(std::vector<std::string> arguments = {})
    {
        arguments.insert(arguments.end(), {"--instance", "engine-1"});
        engine_ = test::Process::start("standin-engine", arguments);
    }

    test::TestCallPtr chat(const std::string &id, const std::string &content, int priority, int maxTokens)
    {
        Json::Value body;
        body["messages"][0]["content"] = content;
        body["max_tokens"] = maxTokens;
        body["priority"] = priority;
        http::ClientRequest request;
        request.method = "POST";
        request.url = "http://127.0.0.1:" + std::to_string(engine_->port()) + "/v1/chat/completions";
        request.headers["X-Request-Id"] = id;
        request.body = http::writeJson(body);
        return caller_.start(request);
    }

    int order(int fence)
    {
        Json::Value body;
        body["fence"] = fence;
        body["action"] = "load";
        body["model"] = "m";
        return caller_.post(engine_->port(), "/v1/orders", body)->status;
    }

    Json::Value get(const std::string &path)
    {
        return caller_.get(engine_->port(), path)->json();
    }

    test::Caller caller_;
    std::unique_ptr<test::Process> engine_;
};

} // namespace

TEST_F(StandinEngine, RunsTheMostUrgentOfThoseThatWait)
{
    start({"--max-batch", "1", "--token-ms", "20"});
    const auto first = chat("first", "a", 1, 20);
    caller_.waitUntil([&] { return !first->body.empty(); }, "the first token");
    const auto late = chat("late", "b", 5, 2);
    caller_.call({.url = "http://127.0.0.1:" + std::to_string(engine_->port()) + "/totals"});
    const auto urgent = chat("urgent", "c", 0, 2);
    caller_.waitUntil([&] { return urgent->ended || late->ended; }, "the next end");
    EXPECT_TRUE(urgent->isWhole());
    EXPECT_FALSE(late->ended);
    caller_.waitUntil([&] { return late->ended; }, "the last end");
}

TEST_F(StandinEngine, KeepsPrefixesAndTellsOfThem)
{
    start({"--cache-blocks", "40"});
    const std::string content(640, 'x');
    caller_.waitUntil([call = chat("1", content, 0, 1)] { return call->ended; }, "the first answer");
    caller_.waitUntil([call = chat("2", content, 0, 1)] { return call->ended; }, "the second answer");
    const Json::Value totals = get("/totals");
    EXPECT_LT(totals["prefilledTokens"].asInt(), totals["promptTokens"].asInt() / 2 + 20);
    EXPECT_EQ(get("/cache-events?after=1")["events"].size(), 1U);
    EXPECT_EQ(get("/load")["running"].asInt(), 0);
}

TEST_F(StandinEngine, ChecksFencingOnlyIfTold)
{
    start({"--check-fencing"});
    EXPECT_EQ(order(3), 200);
    EXPECT_EQ(order(2), 409);
    start();
    EXPECT_EQ(order(3), 200);
    EXPECT_EQ(order(2), 200);
}

TEST_F(StandinEngine, LeavingRunsNothingNewAndEndsWhatRuns)
{
    start({"--token-ms", "20"});
    const auto running = chat("1", "a", 0, 20);
    caller_.waitUntil([&] { return !running->body.empty(); }, "the first token");
    Json::Value leave;
    leave["leaving"] = true;
    caller_.post(engine_->port(), "/control", leave);
    const auto refused = chat("2", "b", 0, 1);
    caller_.waitUntil([&] { return running->ended && refused->ended; }, "both ends");
    EXPECT_TRUE(running->isWhole());
    EXPECT_EQ(refused->status, 503);
    EXPECT_EQ(http::headerValue(refused->headers, "X-Not-Run"), "true");
    EXPECT_EQ(get("/totals")["started"].asInt(), 1);
}

TEST_F(StandinEngine, CrashesOnItsPrompt)
{
    start({"--crash-on", "poison"});
    const auto call = chat("1", "some poison", 0, 5);
    caller_.waitUntil([&] { return call->ended; }, "the end");
    EXPECT_FALSE(call->isWhole());
    EXPECT_EQ(engine_->wait(), 1);
}
