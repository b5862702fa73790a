#include "http1/httpserver.h"
#include "http1/tests/looptest.h"

#include <fmt/format.h>

namespace cardamomlift::http1 {

namespace {

constexpr std::size_t Megabyte = 1 << 20;

/// A server whose clients may hold 4 MiB and four descriptors.
class ServerBudgetTest : public LoopTest
{
protected:
    ServerBudgetTest()
    {
        ServerHandlers handlers;
        handlers.onRequest = [this](ExchangePtr exchange) {
            exchanges_.push_back(std::move(exchange));
        };
        handlers.onRejected = [this](int status) {
            rejected_.push_back(status);
        };
        server_ = HttpServer::listen(*loop_, {"127.0.0.1", 0}, {}, std::move(handlers), budget_).value();
    }

    /// Sends a request of @p bytes but for the last byte of its body.
    void sendShortOfItsEnd(const RawClient &client, std::size_t bytes)
    {
        client.send(fmt::format("POST /large HTTP/1.1\r\nHost: a\r\nContent-Length: {}\r\n\r\n", bytes));
        const std::size_t before = budget_->heldBytes();
        for (std::size_t sent = 0; sent + 1 < bytes; sent += PieceBytes) {
            client.send(std::string(std::min(PieceBytes, bytes - 1 - sent), 'b'));
            loop_->runDue();
        }
        ASSERT_TRUE(runUntil([&] { return budget_->heldBytes() >= before + bytes - 1 || !rejected_.empty(); }));
        clock_.advance(std::chrono::seconds(1));
    }

    static ResponseHead ok()
    {
        ResponseHead head;
        head.status = 200;
        return head;
    }

    static constexpr std::size_t PieceBytes = 16384;
    std::shared_ptr<clientbudget::ClientBudget> budget_ = clientbudget::ClientBudget::create(clock_, {4 * Megabyte, 4});
    std::shared_ptr<HttpServer> server_;
    std::vector<ExchangePtr> exchanges_;
    std::vector<int> rejected_;
};

TEST_F(ServerBudgetTest, AnIncompleteRequestIsToldToComeBackInFavourOfANewOne)
{
    RawClient still(server_->port());
    sendShortOfItsEnd(still, 2 * Megabyte);
    RawClient next(server_->port());
    sendShortOfItsEnd(next, 2 * Megabyte);
    ASSERT_TRUE(runUntil([&] { return still.hasEnded(); }));
    EXPECT_TRUE(still.received().starts_with("HTTP/1.1 503")) << still.received();
    EXPECT_NE(still.received().find("Retry-After: "), std::string::npos);
    EXPECT_EQ(rejected_, std::vector<int>{503});
    next.send("b");
    ASSERT_TRUE(runUntil([&] { return exchanges_.size() == 1; }));
    EXPECT_EQ(exchanges_[0]->body(), std::string(2 * Megabyte - 1, 'b') + "b");
}

TEST_F(ServerBudgetTest, ARequestThatIsServedIsNotClosedForIncompleteOnes)
{
    RawClient served(server_->port());
    sendShortOfItsEnd(served, 2 * Megabyte);
    served.send("b");
    ASSERT_TRUE(runUntil([&] { return exchanges_.size() == 1; }));
    clock_.advance(std::chrono::minutes(5));
    RawClient next(server_->port());
    sendShortOfItsEnd(next, 2 * Megabyte);
    ASSERT_TRUE(runUntil([&] { return next.hasEnded(); }));
    exchanges_[0]->answer(ok(), "whole");
    ASSERT_TRUE(runUntil([&] { return served.received().ends_with("whole"); }));
}

TEST_F(ServerBudgetTest, AConnectionWithoutARequestIsClosedForANewOne)
{
    std::vector<std::unique_ptr<RawClient>> idle;
    for (std::size_t i = 0; i < 4; i++) {
        idle.push_back(std::make_unique<RawClient>(server_->port()));
        ASSERT_TRUE(runUntil([&] { return server_->openConnections() == i + 1; }));
        clock_.advance(std::chrono::seconds(1));
    }
    RawClient next(server_->port());
    next.send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
    ASSERT_TRUE(runUntil([&] { return exchanges_.size() == 1; }));
    EXPECT_TRUE(idle[0]->hasEnded());
    EXPECT_FALSE(idle[3]->hasEnded());
}

// Guards against clients that send request after request and read no answer.
TEST_F(ServerBudgetTest, TheNextRequestIsReadOnceTheLastAnswerIs)
{
    RawClient client(server_->port());
    client.send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
    ASSERT_TRUE(runUntil([&] { return exchanges_.size() == 1; }));
    // More than the system keeps for a client that does not read.
    budget_->setLimits({64 * Megabyte, 4});
    exchanges_[0]->answer(ok(), std::string(32 * Megabyte, 'b'));
    constexpr int Rounds = 50;
    for (int i = 0; i < Rounds; i++) {
        loop_->runDue();
    }
    EXPECT_EQ(exchanges_.size(), 1U);
    ASSERT_TRUE(runUntil([&] { return client.received().size() > 32 * Megabyte && exchanges_.size() == 2; }));
    EXPECT_EQ(exchanges_[1]->head().target, "/2");
    EXPECT_LT(budget_->heldBytes(), Megabyte) << "the buffer of the large answer is freed";
}

// Guards against a handler that sends a request on although its exchange has been closed for memory, or that never hears of it.
TEST_F(ServerBudgetTest, AHandlerIsToldLaterThatItsClientWasClosed)
{
    RawClient client(server_->port());
    client.send("POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nab");
    ASSERT_TRUE(runUntil([&] { return exchanges_.size() == 1; }));
    bool isTold = false;
    exchanges_[0]->onDisconnected([&] { isTold = true; });
    exchanges_[0]->setHandlerBytes(8 * Megabyte);
    EXPECT_FALSE(isTold);
    EXPECT_EQ(exchanges_[0]->body(), "ab");
    ASSERT_TRUE(runUntil([&] { return isTold; }));
    EXPECT_TRUE(client.hasEnded());
    EXPECT_EQ(server_->openExchanges(), 0U);
    EXPECT_EQ(budget_->heldBytes(), 0U);
}

} // namespace

} // namespace cardamomlift::http1
