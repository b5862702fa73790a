#include "origins/softwarehistory.h"

#include "http/tests/spoiltjson.h"
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

    static directory::BackendServer server(const std::string &instance, const std::string &version)
    {
        directory::BackendServer server;
        server.instance = instance;
        server.name = instance;
        server.service = "service";
        server.version = version;
        return server;
    }

    void list(const std::string &instance, const std::string &version)
    {
        directory_->put(server(instance, version));
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

    std::shared_ptr<rows::MemoryRows> rows_ = std::make_shared<rows::MemoryRows>();
    std::shared_ptr<rows::MemoryRowStore> store_ = rows::MemoryRowStore::create(*loop_, rows_);
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

/// Another entry VM before the same store, with a list of its own.
class OtherVm
{
public:
    OtherVm(EventLoop &loop, const std::shared_ptr<rows::MemoryRows> &rows)
        : store_(rows::MemoryRowStore::create(loop, rows))
        , history_(SoftwareHistory::create({&loop, directory_, store_}))
        , loop_(loop)
    {
    }

    void list(const directory::BackendServer &server)
    {
        directory_->put(server);
    }

    void tick()
    {
        directory_->noteListComplete({}, loop_.now());
        history_->tick();
    }

    SoftwareHistory &history()
    {
        return *history_;
    }

    rows::MemoryRowStore &store()
    {
        return *store_;
    }

private:
    std::shared_ptr<directory::Directory> directory_ = directory::Directory::create();
    std::shared_ptr<rows::MemoryRowStore> store_;
    std::shared_ptr<SoftwareHistory> history_;
    EventLoop &loop_;
};

// Guards against a stream that is resumed at another version by a VM that was out of step while the version of that stream joined.
TEST_F(SoftwareHistoryTest, AStreamBeginsAtANewVersionOnlyOnceTheStoreKnowsIt)
{
    // This VM is the recorder. It does not run while the new version joins, and its list lacks the version.
    list("one", "v1");
    pass(std::chrono::seconds(2));
    OtherVm other(*loop_, rows_);
    other.list(server("one", "v1"));
    const directory::BackendServer joined = server("two", "v2");
    other.list(joined);
    EXPECT_FALSE(other.history().mayBegin(joined));
    EXPECT_EQ(findOnly(), softwareId("service", "v1")) << "no stream can have begun at another version";
    const TimePoint joinedAt = loop_->now();
    const TimePoint end = joinedAt + std::chrono::seconds(3);
    while (!other.history().mayBegin(joined) && loop_->now() < end) {
        clock_.advance(std::chrono::milliseconds(50));
        other.tick();
        loop_->runDue();
        loop_->runDue();
    }
    ASSERT_TRUE(other.history().mayBegin(joined));
    EXPECT_LE(loop_->now() - joinedAt, std::chrono::seconds(1)) << "a new server is used soon";
    directory_->noteListComplete({}, loop_->now());
    EXPECT_FALSE(findOnly()) << "the list of this VM names one version, the store several";
}

// Guards against what this VM has read just before a version has joined.
TEST_F(SoftwareHistoryTest, TheStoreIsReadAfterTheQuestion)
{
    list("one", "v1");
    pass(std::chrono::seconds(2));
    EXPECT_TRUE(findOnly());
    clock_.advance(std::chrono::milliseconds(1));
    rows::RowWrite write;
    write.table = "service-software";
    write.key = "service";
    write.value = formatSoftwareRow({});
    ASSERT_EQ(rows_->transact({write}).outcome, rows::WriteOutcome::Written);
    std::optional<std::optional<SoftwareId>> result;
    history_->findOnly("service", [&](std::optional<SoftwareId> software) { result = software; });
    for (int i = 0; i < 200 && !result; i++) {
        clock_.advance(std::chrono::milliseconds(1));
        loop_->runDue();
    }
    ASSERT_TRUE(result);
    EXPECT_FALSE(*result);
}

// Guards against servers that stand idle while the store does not answer.
TEST_F(SoftwareHistoryTest, StreamsBeginAtANewVersionWhileTheStoreIsDown)
{
    for (const auto fault : {&rows::MemoryRowFaults::down, &rows::MemoryRowFaults::silent}) {
        rows_ = std::make_shared<rows::MemoryRows>();
        store_ = rows::MemoryRowStore::create(*loop_, rows_);
        store_->faults.*fault = true;
        start();
        list("one", "v1");
        pass(std::chrono::milliseconds(500));
        EXPECT_FALSE(history_->mayBegin(server("one", "v1")));
        pass(std::chrono::seconds(1));
        EXPECT_TRUE(history_->mayBegin(server("one", "v1")));
        store_->faults = {};
        pass(std::chrono::seconds(4));
        EXPECT_TRUE(findOnly()) << "it is recorded later";
    }
}

// Guards against a first row that is written after a version has gone, and claims that none was there before.
TEST_F(SoftwareHistoryTest, TheFirstRowDoesNotDenyAVersionThatHasGone)
{
    store_->faults.down = true;
    list("one", "v1");
    list("two", "v2");
    pass(std::chrono::seconds(2));
    directory_->remove("one", loop_->now());
    pass(std::chrono::seconds(1));
    store_->faults.down = false;
    pass(std::chrono::seconds(4));
    EXPECT_FALSE(findOnly());
    pass(OriginLifetime);
    EXPECT_EQ(findOnly(), softwareId("service", "v2"));
}

// Guards against a row of an older copy of the store, from before a version had joined.
TEST_F(SoftwareHistoryTest, ARowOfARestoredStoreTellsNothing)
{
    list("one", "v1");
    pass(std::chrono::seconds(2));
    const rows::MemoryRows copy = *rows_;
    store_->eras().note(1);
    list("two", "v2");
    pass(std::chrono::seconds(2));
    rows_->restore(copy);
    store_->eras().note(2);
    directory_->remove("two", loop_->now());
    EXPECT_FALSE(findOnly());
    pass(std::chrono::seconds(2));
    EXPECT_FALSE(findOnly());
}

TEST_F(SoftwareHistoryTest, KnowsWhetherAServiceMayHaveSeveralVersions)
{
    EXPECT_TRUE(history_->mayHaveSeveral("service")) << "nothing is known yet";
    list("one", "v1");
    pass(std::chrono::seconds(2));
    EXPECT_FALSE(history_->mayHaveSeveral("service"));
    list("two", "v2");
    pass(std::chrono::milliseconds(250));
    EXPECT_TRUE(history_->mayHaveSeveral("service"));
    directory_->remove("two", loop_->now());
    pass(std::chrono::seconds(2));
    EXPECT_TRUE(history_->mayHaveSeveral("service")) << "callers may still come with its streams";
    pass(OriginLifetime);
    EXPECT_FALSE(history_->mayHaveSeveral("service"));
}

TEST(SoftwareRow, IsReadAsItWasWritten)
{
    const auto row = parseSoftwareRow(formatSoftwareRow({"v1", std::chrono::seconds(5), 3}));
    ASSERT_TRUE(row);
    EXPECT_EQ(row->era, 3U);
    EXPECT_EQ(row->version, "v1");
    EXPECT_EQ(row->since, std::chrono::seconds(5));
    const auto several = parseSoftwareRow(formatSoftwareRow({}));
    ASSERT_TRUE(several);
    EXPECT_FALSE(several->version);
    EXPECT_FALSE(parseSoftwareRow("{"));
    EXPECT_FALSE(parseSoftwareRow(R"({"version":"v1","since_ms":9000000000000000000})")->version) << "no time of the store";
    http::forEachSpoiltText(formatSoftwareRow({"v1", std::chrono::seconds(5), 3}), [](const std::string &text) { parseSoftwareRow(text); });
}

} // namespace

} // namespace cardamomlift::origins
