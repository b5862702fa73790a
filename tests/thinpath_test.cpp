#include "support/fleet.h"

#include <gtest/gtest.h>

#include <csignal>

using namespace cardamomlift;
using test::Fleet;

namespace {

std::vector<std::string> textsOf(const test::TestCall &call)
{
    std::vector<std::string> texts;
    for (const auto &[position, text] : call.tokens()) {
        texts.push_back(text);
    }
    return texts;
}

} // namespace

TEST(ThinPath, StreamsAndCallsThroughEveryEntryVm)
{
    Fleet fleet(3);
    fleet.addEngine("engine-1", "zone-1");
    test::Process &service = fleet.addService("orders-1", "zone-1");
    fleet.waitReady();
    for (const std::string &entry : fleet.entryNames) {
        const auto chat = fleet.caller.call(fleet.chat(entry, "hello from " + entry, 20));
        EXPECT_TRUE(chat->isWhole()) << chat->body;
        EXPECT_EQ(textsOf(*chat), Fleet::expectedTokens("hello from " + entry, 7, 20));
        const auto order = fleet.caller.call(fleet.serviceCall(entry, "/orders/orders", "{}", "key-of-" + entry));
        EXPECT_EQ(order->status, 200) << order->body;
    }
    EXPECT_EQ(fleet.caller.get(service.port(), "/runs")->json()["runs"].asInt(), 3);
}

TEST(ThinPath, RepeatGetsTheKeptAnswer)
{
    Fleet fleet(2);
    test::Process &service = fleet.addService("orders-1", "zone-1");
    fleet.waitReady();
    const auto first = fleet.caller.call(fleet.serviceCall("entry-1", "/orders/orders", "{}", "key-1"));
    const auto second = fleet.caller.call(fleet.serviceCall("entry-2", "/orders/orders", "{}", "key-1"));
    EXPECT_EQ(first->status, 200) << first->body;
    EXPECT_EQ(second->body, first->body);
    const auto other = fleet.caller.call(fleet.serviceCall("entry-2", "/orders/orders", "{\"other\":1}", "key-1"));
    EXPECT_EQ(other->status, 422) << other->body;
    EXPECT_EQ(fleet.caller.get(service.port(), "/runs")->json()["byKey"]["key-1"].asInt(), 1);
}

TEST(ThinPath, TerminateDrainsAnOpenStream)
{
    Fleet fleet(1);
    fleet.addEngine("engine-1", "zone-1", {"--token-ms", "10"});
    fleet.waitReady();
    const auto chat = fleet.caller.start(fleet.chat("entry-1", "long", 100));
    fleet.caller.waitUntil([&] { return !chat->body.empty(); }, "the first token");
    fleet.processes["entry-1"]->signal(SIGTERM);
    fleet.caller.waitUntil([&] { return chat->ended; }, "the end of the stream");
    EXPECT_TRUE(chat->isWhole());
    EXPECT_EQ(chat->tokens().size(), 100U);
    EXPECT_EQ(fleet.processes["entry-1"]->wait(), 0);
}
