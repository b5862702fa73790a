#include "origins/softwarehistory.h"

#include "http1/tests/looptest.h"
#include "rows/memoryrowstore.h"

namespace cardamomlift::origins {

namespace {

class SoftwareHistoryTest : public http1::LoopTest
{
protected:
    SoftwareHistoryTest()
    {
        clock_.pause();
        start();
    }

    /// As after a restart of all VMs.
    void start()
    {
        directory_ = directory::Directory::create();
        history_ = SoftwareHistory::create({loop_.get(), directory_, store_});
        history_->setRecorderCheck([] { return true; });
    }

    void list(const std::string &instance, const std::string &version)
    {
        directory::BackendServer server;
        server.instance = instance;
        server.name = instance;
        server.service = "service";
        server.version = version;
        directory_->put(std::move(server));
    }

    void pass(Duration time)
    {
        constexpr Duration Step = std::chrono::milliseconds(250);
        for (Duration passed{0}; passed < time; passed += Step) {
            clock_.advance(Step);
            directory_->noteListComplete({}, loop_->now());
            history_->tick();
            for (int i = 0; i < 4; i++) {
                loop_->runDue();
            }
        }
    }

    std::optional<SoftwareId> findOnly()
    {
        std::optional<std::optional<SoftwareId>> result;
        history_->findOnly("service", [&](std::optional<SoftwareId> software) { result = software; });
        EXPECT_TRUE(runUntil([&] { return result.has_value(); }));
        return result.value_or(std::nullopt);
    }

    std::shared_ptr<rows::MemoryRowStore> store_ = rows::MemoryRowStore::create(*loop_, std::make_shared<rows::MemoryRows>());
    std::shared_ptr<directory::Directory> directory_;
    std::shared_ptr<SoftwareHistory> history_;
};

TEST_F(SoftwareHistoryTest, AVersionThatHasAlwaysBeenAloneIsTheOnlyOneAlsoAfterARestart)
{
    list("one", "v1");
    pass(std::chrono::seconds(2));
    EXPECT_EQ(findOnly(), softwareId("service", "v1"));
    start();
    list("one", "v1");
    pass(std::chrono::seconds(1));
    EXPECT_EQ(findOnly(), softwareId("service", "v1"));
}

// Guards against a version that is taken for the only one since the other has just gone.
TEST_F(SoftwareHistoryTest, AVersionIsTheOnlyOneWhenNoStreamOfAnotherCanComeAnyMore)
{
    list("one", "v1");
    pass(std::chrono::seconds(2));
    list("two", "v2");
    pass(std::chrono::seconds(2));
    EXPECT_FALSE(findOnly());
    directory_->remove("one", loop_->now());
    pass(std::chrono::seconds(2));
    EXPECT_FALSE(findOnly());
    start();
    list("two", "v2");
    pass(std::chrono::seconds(2));
    EXPECT_FALSE(findOnly()) << "as after a restart of all VMs";
    pass(OriginLifetime);
    EXPECT_EQ(findOnly(), softwareId("service", "v2"));
}

// Guards against a version that replaced another while all VMs were down.
TEST_F(SoftwareHistoryTest, AnotherVersionThanTheOneRecordedIsNotTheOnlyOne)
{
    list("one", "v1");
    pass(std::chrono::seconds(2));
    start();
    list("two", "v2");
    pass(std::chrono::seconds(1));
    EXPECT_FALSE(findOnly());
}

// Guards against what a VM knew before it was cut off.
TEST_F(SoftwareHistoryTest, NothingIsKnownWithoutTheStoreOrAFreshList)
{
    list("one", "v1");
    pass(std::chrono::seconds(2));
    clock_.advance(std::chrono::seconds(4));
    EXPECT_FALSE(findOnly()) << "the list is old";
    pass(std::chrono::seconds(1));
    EXPECT_TRUE(findOnly());
    store_->faults.down = true;
    pass(std::chrono::seconds(2));
    EXPECT_FALSE(findOnly());
}

// Guards against calls in quick succession, each of which costs, to a store that is down.
TEST_F(SoftwareHistoryTest, ACallThatFailsIsRepeatedSeldom)
{
    list("one", "v1");
    store_->faults.down = true;
    pass(std::chrono::seconds(10));
    EXPECT_LE(store_->calls, 6U);
    store_->faults.down = false;
    pass(std::chrono::seconds(4));
    EXPECT_TRUE(findOnly());
    const std::uint64_t calls = store_->calls;
    pass(std::chrono::seconds(60));
    EXPECT_EQ(store_->calls, calls) << "nothing has changed";
}

TEST(SoftwareRow, IsReadAsItWasWritten)
{
    const auto row = parseSoftwareRow(formatSoftwareRow({"v1", std::chrono::seconds(5)}));
    ASSERT_TRUE(row);
    EXPECT_EQ(row->version, "v1");
    EXPECT_EQ(row->since, std::chrono::seconds(5));
    const auto several = parseSoftwareRow(formatSoftwareRow({}));
    ASSERT_TRUE(several);
    EXPECT_FALSE(several->version);
    EXPECT_FALSE(parseSoftwareRow("{"));
}

} // namespace

} // namespace cardamomlift::origins
