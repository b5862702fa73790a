#include "origins/storedorigins.h"

#include "http1/tests/looptest.h"
#include "origins/originsformat.h"
#include "rows/memoryrowstore.h"

#include <fmt/format.h>

#include <set>

namespace cardamomlift::origins {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr SoftwareId Software = 7;

/// VMs that write origins to one store, on a clock that stands still.
class StoredOriginsTest : public http1::LoopTest
{
protected:
    StoredOriginsTest()
    {
        clock_.pause();
        clock_.advance(std::chrono::hours(1));
    }

    std::shared_ptr<StoredOrigins> startVm(const std::string &name)
    {
        const auto vm = StoredOrigins::create({loop_.get(), store_, name});
        // The clock is known from the first answer.
        store_->read("any", {}, [](const rows::ReadResult &) {});
        pass(milliseconds(10));
        return vm;
    }

    void pass(Duration time)
    {
        constexpr Duration Step = milliseconds(10);
        for (Duration passed{0}; passed < time; passed += Step) {
            clock_.advance(Step);
            loop_->runDue();
            loop_->runDue();
        }
    }

    std::vector<StreamOrigin> read(StoredOrigins &vm)
    {
        std::optional<std::vector<StreamOrigin>> result;
        vm.read([&result](std::span<const StreamOrigin> origins) { result.emplace(origins.begin(), origins.end()); });
        for (int i = 0; i < 300 && !result; i++) {
            pass(milliseconds(10));
        }
        EXPECT_TRUE(result);
        return result.value_or(std::vector<StreamOrigin>());
    }

    std::size_t rowCount() const
    {
        return rows_->read("stream-origins", {}, 10'000).rows.size();
    }

    std::shared_ptr<rows::MemoryRows> rows_ = std::make_shared<rows::MemoryRows>();
    std::shared_ptr<rows::MemoryRowStore> store_ = rows::MemoryRowStore::create(*loop_, rows_);
};

// Guards against origins that are forgotten when all VMs end at once.
TEST_F(StoredOriginsTest, OutliveAllVms)
{
    auto first = startVm("vm-1");
    first->add({1, Software, seconds(2)});
    first->add({2, Software + 1, Duration(0)});
    pass(seconds(1));
    first.reset();
    const auto second = startVm("vm-2");
    pass(seconds(4));
    const auto origins = read(*second);
    ASSERT_EQ(origins.size(), 2U);
    EXPECT_EQ(origins[0].stream, 1U);
    EXPECT_EQ(origins[0].software, Software);
    EXPECT_GE(origins[0].age, seconds(7));
    EXPECT_LE(origins[0].age, milliseconds(7500));
    EXPECT_EQ(origins[1].software, Software + 1);
}

// Guards against streams of half a second of which most are cut off, by the end of all VMs, before their origin is written.
TEST_F(StoredOriginsTest, AreWrittenSoon)
{
    auto vm = startVm("vm-1");
    constexpr StreamId Streams = 95;
    constexpr Duration Gap = milliseconds(10);
    constexpr Duration Length = milliseconds(500);
    for (StreamId stream = 0; stream < Streams; stream++) {
        vm->add({stream, Software, Duration(0)});
        pass(Gap);
    }
    vm.reset();
    std::set<StreamId> known;
    for (const StreamOrigin &origin : read(*startVm("vm-2"))) {
        known.insert(origin.stream);
    }
    // Of those that run when the VM ends, ten a hundred milliseconds, four fifths can go on.
    const StreamId firstRunning = Streams - Length / Gap;
    const auto running = std::distance(known.lower_bound(firstRunning), known.end());
    EXPECT_GE(running, (Length / Gap) * 4 / 5);
}

// Guards against a call to the store for each stream.
TEST_F(StoredOriginsTest, AreWrittenTogether)
{
    const auto vm = startVm("vm-1");
    const std::uint64_t before = store_->calls;
    for (StreamId stream = 0; stream < 1000; stream++) {
        vm->add({stream, Software, Duration(0)});
        pass(milliseconds(10));
    }
    pass(seconds(1));
    EXPECT_EQ(read(*vm).size(), 1000U);
    // Some 12 writers at 380 VMs; the store takes 400 writes a second.
    EXPECT_LE(store_->calls - before, 130U) << "thirteen a second";
    const std::uint64_t idle = store_->calls;
    pass(seconds(10));
    EXPECT_EQ(store_->calls, idle);
}

TEST_F(StoredOriginsTest, AreReadInSeveralPages)
{
    store_->pageSize = 3;
    const auto vm = startVm("vm-1");
    for (StreamId stream = 0; stream < 10; stream++) {
        vm->add({stream, Software, Duration(0)});
        pass(milliseconds(500));
    }
    std::set<StreamId> streams;
    for (const StreamOrigin &origin : read(*vm)) {
        streams.insert(origin.stream);
    }
    EXPECT_EQ(streams.size(), 10U);
}

// Guards against rows that pile up in the store, also those of VMs that are gone.
TEST_F(StoredOriginsTest, AreRemovedOnceTheyHaveExpired)
{
    auto gone = startVm("gone");
    gone->add({1, Software, Duration(0)});
    pass(seconds(1));
    gone.reset();
    const auto vm = startVm("vm-1");
    pass(OriginLifetime + seconds(20));
    EXPECT_EQ(read(*vm).size(), 0U) << "an expired origin is not read";
    for (StreamId stream = 0; stream < 300; stream++) {
        vm->add({stream, Software, Duration(0)});
        pass(seconds(1));
    }
    const auto newest = rows_->read("stream-origins", {}, 10'000).rows;
    EXPECT_LE(newest.size(), 75U);
    EXPECT_EQ(newest.front().key.find("gone"), std::string::npos);
}

// Guards against origins that are lost, or a memory that grows, while the store does not answer.
TEST_F(StoredOriginsTest, AreWrittenAfterAnOutage)
{
    for (auto fault : {&rows::MemoryRowFaults::down, &rows::MemoryRowFaults::silent, &rows::MemoryRowFaults::loseAnswers}) {
        const auto vm = startVm("vm-1");
        store_->faults.*fault = true;
        vm->add({1, Software, Duration(0)});
        pass(seconds(5));
        vm->add({2, Software, Duration(0)});
        pass(seconds(1));
        store_->faults = {};
        pass(seconds(4));
        std::set<StreamId> streams;
        for (const StreamOrigin &origin : read(*vm)) {
            streams.insert(origin.stream);
        }
        EXPECT_EQ(streams, (std::set<StreamId>{1, 2}));
    }
}

TEST_F(StoredOriginsTest, NothingIsReadWithoutTheStore)
{
    const auto vm = startVm("vm-1");
    vm->add({1, Software, Duration(0)});
    pass(seconds(1));
    store_->faults.down = true;
    EXPECT_EQ(read(*vm).size(), 0U);
    store_->faults = {};
    EXPECT_EQ(read(*vm).size(), 1U);
}

// Guards against a row of another writer that ends the process or hides the others.
TEST_F(StoredOriginsTest, OddRowsAreLeftOut)
{
    const auto vm = startVm("vm-1");
    vm->add({1, Software, Duration(0)});
    pass(seconds(1));
    for (const char *key : {"", "x", "99999999999999999999999", "000000003600000-odd", "-00000000000001"}) {
        rows::RowWrite odd;
        odd.table = "stream-origins";
        odd.key = key;
        odd.value = "\xff\xff{[";
        rows_->transact({odd});
    }
    EXPECT_EQ(read(*vm).size(), 1U);
}

} // namespace

} // namespace cardamomlift::origins
