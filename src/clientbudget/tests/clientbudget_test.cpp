#include "clientbudget/clientbudget.h"

#include <gtest/gtest.h>

#include <map>

namespace cardamomlift::clientbudget {

namespace {

constexpr std::size_t Megabyte = 1 << 20;

class ClientBudgetTest : public testing::Test
{
protected:
    /// Opens the account of a client. One that is evicted for descriptors gives up its account, as a connection that is closed.
    bool open(const std::string &client)
    {
        auto account = budget_->open([this, client](const ConnectionUse &, Shortage shortage) {
            evictions_[client]++;
            if (shortage == Shortage::Descriptors) {
                accounts_.erase(client);
            }
        });
        if (!account) {
            return false;
        }
        accounts_[client] = std::move(account);
        clock_.advance(std::chrono::seconds(1));
        return true;
    }

    void receive(const std::string &client, std::size_t bytes)
    {
        accounts_.at(client)->setActivity(Activity::Receiving);
        accounts_.at(client)->setBytes(bytes);
        clock_.advance(std::chrono::seconds(1));
    }

    ManualClock clock_;
    std::shared_ptr<ClientBudget> budget_ = ClientBudget::create(clock_, {8 * Megabyte, 3});
    std::map<std::string, std::unique_ptr<ConnectionAccount>> accounts_;
    std::map<std::string, int> evictions_;
};

TEST_F(ClientBudgetTest, GivesBackWhatAClosedConnectionHeld)
{
    open("a");
    receive("a", Megabyte);
    EXPECT_EQ(budget_->heldBytes(), Megabyte);
    EXPECT_EQ(budget_->heldDescriptors(), 1U);
    accounts_.clear();
    EXPECT_EQ(budget_->heldBytes(), 0U);
    EXPECT_EQ(budget_->heldDescriptors(), 0U);
    EXPECT_EQ(budget_->openConnections(), 0U);
}

TEST_F(ClientBudgetTest, ALargeRequestThatStandsStillYieldsToNewOnes)
{
    open("still");
    receive("still", 6 * Megabyte);
    open("small");
    receive("small", 1000);
    open("large");
    receive("large", 4 * Megabyte);
    EXPECT_EQ(evictions_, (std::map<std::string, int>{{"still", 1}}));
    EXPECT_EQ(budget_->heldBytes(), 4 * Megabyte + 1000);
    EXPECT_EQ(budget_->evictions(Shortage::Memory), 1U);
}

TEST_F(ClientBudgetTest, SmallRequestsHaveRoomThatLargeOnesCannotTake)
{
    open("served");
    accounts_.at("served")->setActivity(Activity::Serving);
    accounts_.at("served")->setBytes(7 * Megabyte);
    open("large");
    receive("large", 4 * Megabyte);
    EXPECT_EQ(evictions_, (std::map<std::string, int>{{"large", 1}}));
    open("small");
    receive("small", 100000);
    EXPECT_EQ(evictions_.count("small"), 0U);
}

TEST_F(ClientBudgetTest, ANewConnectionTakesThePlaceOfTheOneThatIsIdleForLongest)
{
    for (const char *client : {"a", "b", "c"}) {
        ASSERT_TRUE(open(client));
    }
    accounts_.at("a")->setActivity(Activity::Serving);
    ASSERT_TRUE(open("d"));
    EXPECT_EQ(evictions_, (std::map<std::string, int>{{"b", 1}}));
    EXPECT_EQ(budget_->heldDescriptors(), 3U);
}

TEST_F(ClientBudgetTest, ServedRequestsAreNotClosedForNewConnections)
{
    for (const char *client : {"a", "b", "c"}) {
        ASSERT_TRUE(open(client));
        accounts_.at(client)->setActivity(Activity::Serving);
    }
    EXPECT_FALSE(open("d"));
    EXPECT_TRUE(evictions_.empty());
    EXPECT_FALSE(accounts_.at("a")->trySetDescriptors(2));
    EXPECT_EQ(budget_->heldDescriptors(), 3U);
}

TEST_F(ClientBudgetTest, KeepsBelowWhatTheProcessHadWhenItsDescriptorsRanOut)
{
    budget_->setLimits({8 * Megabyte, 1000});
    for (int i = 0; i < 100; i++) {
        ASSERT_TRUE(open(std::to_string(i)));
    }
    budget_->noteDescriptorsExhausted();
    EXPECT_LE(budget_->heldDescriptors(), 90U);
    for (int i = 100; i < 120; i++) {
        ASSERT_TRUE(open(std::to_string(i)));
        EXPECT_LE(budget_->heldDescriptors(), 90U);
    }
    clock_.advance(std::chrono::minutes(2));
    for (int i = 200; i < 300; i++) {
        ASSERT_TRUE(open(std::to_string(i)));
    }
    EXPECT_GT(budget_->heldDescriptors(), 100U);
}

} // namespace

} // namespace cardamomlift::clientbudget
