#include "presence/tests/tablerelaytest.h"

namespace cardamomlift::presence {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Parameter: by how many milliseconds the store readers reconnect to the store later than the other VMs.
class RestoredStoreTest : public TableRelayTest, public testing::WithParamInterface<int>
{
protected:
    std::vector<Vm *> storeReaders() const
    {
        std::vector<Vm *> result;
        for (const auto &vm : vms_) {
            if (vm->relay->isStoreReader()) {
                result.push_back(vm.get());
            }
        }
        return result;
    }
};

// A VM that reads the restored store before the others do gets deltas from them with versions that no longer exist.
TEST_P(RestoredStoreTest, DeltasFromBeforeTheRestoreDoNotHideChanges)
{
    start(9);
    put("server", "ready");
    advance(seconds(5));
    const std::vector<Vm *> late = storeReaders();
    const rows::MemoryRows copy = *rows_;
    for (int i = 0; i < 10; i++) {
        // Each write raises the store's version for all tables.
        put("lost", std::to_string(i), "other");
        advance(milliseconds(200));
    }
    for (const auto &vm : vms_) {
        vm->store->faults.down = true;
    }
    advance(milliseconds(2500));
    rows_->restore(copy);
    for (const auto &vm : vms_) {
        vm->store->faults.down = std::find(late.begin(), late.end(), vm.get()) != late.end();
    }
    advance(milliseconds(GetParam()));
    for (Vm *vm : late) {
        vm->store->faults.down = false;
    }
    advance(seconds(1));
    put("server", "draining");
    // A draining server must get no new requests after two seconds.
    advance(milliseconds(1700));
    for (const auto &vm : vms_) {
        EXPECT_EQ(vm->known["server"], "draining") << vm->presence->instance();
    }
}

// VMs whose rows are missing from the restored copy would be unknown to VMs that start later, and their datagrams would be
// dropped by the others.
TEST_F(TableRelayTest, VmsMissingFromTheCopyStayKnownAndWriteTheirRowsAgain)
{
    const rows::MemoryRows copy = *rows_;
    start(9);
    advance(seconds(5));
    rows_->restore(copy);
    advance(seconds(3), [this] {
        for (const auto &vm : vms_) {
            EXPECT_EQ(vm->presence->vmCount(), 9U) << vm->presence->instance();
        }
    });
    EXPECT_EQ(rows_->read("entry-vms", "", 1000).rows.size(), 9U);
    for (const auto &vm : vms_) {
        EXPECT_EQ(vm->presence->countPeersHeardWithin(seconds(1)), 8U) << vm->presence->instance();
    }
}

INSTANTIATE_TEST_SUITE_P(LateByMilliseconds, RestoredStoreTest, testing::Values(0, 400, 800));

/// Several restores in turn, from copies that are up to eight seconds old, with random writes and outages.
class RestoredStoreSeeds : public TableRelayTest, public testing::WithParamInterface<unsigned>
{
protected:
    int draw(int least, int most)
    {
        return std::uniform_int_distribution(least, most)(random_);
    }

    void writeRows(int count, Duration pause)
    {
        for (int i = 0; i < count; i++) {
            const bool isOwnTable = draw(0, 3) == 0;
            put("row-" + std::to_string(draw(0, 5)), std::to_string(written_++), isOwnTable ? "t" : "other");
            advance(pause);
        }
    }

    void restore(const rows::MemoryRows &copy)
    {
        for (const auto &vm : vms_) {
            vm->store->faults.down = true;
        }
        advance(milliseconds(draw(0, 30) * 100));
        rows_->restore(copy);
        // The restored store reuses versions before the VMs poll it.
        writeRows(draw(0, 12), Duration(0));
        std::vector<Vm *> disconnected;
        for (const auto &vm : vms_) {
            disconnected.push_back(vm.get());
        }
        std::shuffle(disconnected.begin(), disconnected.end(), random_);
        const Duration pause = milliseconds(draw(0, 10) * 100) / disconnected.size();
        for (Vm *vm : disconnected) {
            vm->store->faults.down = false;
            advance(pause);
        }
    }

    std::map<std::string, std::string> stored() const
    {
        std::map<std::string, std::string> result;
        for (const rows::Row &row : rows_->read("t", "", 1000).rows) {
            result[row.key] = row.value;
        }
        return result;
    }

private:
    std::mt19937 random_{GetParam()};
    int written_ = 0;
};

// Guards against a VM that keeps rows which the restored store does not have, or misses rows written since the restore.
TEST_P(RestoredStoreSeeds, AllVmsKnowTheTableAsItIs)
{
    constexpr int Restores = 3;
    network_.loss = 0.025;
    const bool isLarge = GetParam() % 4 == 0;
    start(isLarge ? 30 : 9, isLarge ? 3 : 1);
    advance(seconds(5));
    for (int i = 0; i < Restores; i++) {
        const rows::MemoryRows copy = *rows_;
        writeRows(draw(1, 40), milliseconds(200));
        restore(copy);
        advance(seconds(2));
        put("server", "leaving-" + std::to_string(i));
        // A draining server must get no new requests after two seconds.
        advance(milliseconds(1700));
        for (const auto &vm : vms_) {
            EXPECT_EQ(vm->known, stored()) << vm->presence->instance();
        }
    }
}

INSTANTIATE_TEST_SUITE_P(Seeds, RestoredStoreSeeds, testing::Range(1U, 25U));

} // namespace

} // namespace cardamomlift::presence
