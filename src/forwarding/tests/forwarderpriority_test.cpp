#include "forwarding/tests/forwardertest.h"

#include <gtest/gtest.h>

namespace cardamomlift::forwarding {

namespace {

class ForwarderPriorityTest : public ForwarderTest
{
protected:
    void install(const manifest::Manifest &manifest)
    {
        manifests_->update(manifest);
        manifests_->confirm(loop_->now());
    }

    /// The priority that the server is told; empty: none.
    std::string priorityOf(const std::string &target, const std::string &more = {})
    {
        const auto client = call(request(target, more));
        const http1::ExchangePtr exchange = nextRequest();
        std::string priority(exchange->head().fields.get("X-Request-Priority"));
        exchange->answer(signedHead(200), "answer");
        EXPECT_TRUE(runUntil([&] { return hasStatus(*client, "200"); }));
        return priority;
    }
};

// The load: urgent questions and long drafts for the same engines, which admit the urgent first.
TEST_F(ForwarderPriorityTest, EnginesAreToldTheRoutesPriority)
{
    manifest::Manifest manifest = testManifest(2);
    manifest.routes[0].priority = 3;
    install(manifest);
    EXPECT_EQ(priorityOf("/safe/1"), "3");
    EXPECT_EQ(priorityOf("/once/1", "X-Request-Priority: 7\r\n"), "0") << "callers do not set it";
}

TEST_F(ForwarderPriorityTest, ACustomersPriorityGoesBeforeTheRoutes)
{
    manifest::Manifest manifest = testManifest(2);
    manifest.routes[0].priority = 3;
    manifest.customers[0].priority = 12;
    install(manifest);
    EXPECT_EQ(priorityOf("/safe/1"), "9") << "the last one that engines know";
}

TEST_F(ForwarderPriorityTest, RequestsThatAreAllAlikeHaveNone)
{
    EXPECT_EQ(priorityOf("/safe/1"), "");
}

TEST_F(ForwarderPriorityTest, PlainServersAreToldNone)
{
    manifest::Manifest manifest = testManifest(2);
    manifest.routes[0].priority = 3;
    manifest.services[0].engine.reset();
    install(manifest);
    EXPECT_EQ(priorityOf("/safe/1"), "");
}

} // namespace

} // namespace cardamomlift::forwarding
