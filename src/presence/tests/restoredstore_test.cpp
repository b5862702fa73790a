#include "presence/tests/tablerelaytest.h"

namespace cardamomlift::presence {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// How much later than the others the VMs that follow the store scope it again.
class RestoredStoreTest : public TableRelayTest, public testing::WithParamInterface<int>
{
protected:
    std::vector<Vm *> followers() const
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

// A VM that reads the restored store before the others do hears from them of versions that are gone.
TEST_P(RestoredStoreTest, NewsFromBeforeTheRestoreDoNotHideChanges)
{
    start(9);
    put("server", "ready");
    pass(seconds(5));
    const std::vector<Vm *> late = followers();
    const rows::MemoryRows copy = *rows_;
    for (int i = 0; i < 10; i++) {
        // Each write raises the store's version for all tables.
        put("lost", std::to_string(i), "other");
        pass(milliseconds(200));
    }
    for (const auto &vm : vms_) {
        vm->store->faults.down = true;
    }
    pass(milliseconds(2500));
    rows_->restore(copy);
    for (const auto &vm : vms_) {
        vm->store->faults.down = std::find(late.begin(), late.end(), vm.get()) != late.end();
    }
    pass(milliseconds(GetParam()));
    for (Vm *vm : late) {
        vm->store->faults.down = false;
    }
    pass(seconds(1));
    put("server", "draining");
    // A server that leaves must get no more work after two seconds.
    pass(milliseconds(1700));
    for (const auto &vm : vms_) {
        EXPECT_EQ(vm->known["server"], "draining") << vm->presence->instance();
    }
}

// VMs whose rows the copy lacks would be unknown to all that start later, and unheard by the others.
TEST_F(TableRelayTest, VmsThatTheCopyLacksStayKnownAndWriteTheirRowsAgain)
{
    const rows::MemoryRows copy = *rows_;
    start(9);
    pass(seconds(5));
    rows_->restore(copy);
    pass(seconds(3), [this] {
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

/// Restores from copies that are up to eight seconds old, one after the other, with what a seed draws of the rest.
class RestoredStoreSeeds : public TableRelayTest, public testing::WithParamInterface<unsigned>
{
protected:
    int draw(int least, int most)
    {
        return std::uniform_int_distribution(least, most)(random_);
    }

    void writeSome(int count, Duration pause)
    {
        for (int i = 0; i < count; i++) {
            const bool isOwnTable = draw(0, 3) == 0;
            put("row-" + std::to_string(draw(0, 5)), std::to_string(written_++), isOwnTable ? "t" : "other");
            pass(pause);
        }
    }

    void restore(const rows::MemoryRows &copy)
    {
        for (const auto &vm : vms_) {
            vm->store->faults.down = true;
        }
        pass(milliseconds(draw(0, 30) * 100));
        rows_->restore(copy);
        // Versions are given out again before the VMs ask.
        writeSome(draw(0, 12), Duration(0));
        std::vector<Vm *> away;
        for (const auto &vm : vms_) {
            away.push_back(vm.get());
        }
        std::shuffle(away.begin(), away.end(), random_);
        const Duration pause = milliseconds(draw(0, 10) * 100) / away.size();
        for (Vm *vm : away) {
            vm->store->faults.down = false;
            pass(pause);
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

// A VM must not go on with rows that the restored store does not have, nor miss what is written there since.
TEST_P(RestoredStoreSeeds, AllVmsKnowTheTableAsItIs)
{
    constexpr int Restores = 3;
    network_.loss = 0.025;
    const bool isLarge = GetParam() % 4 == 0;
    start(isLarge ? 30 : 9, isLarge ? 3 : 1);
    pass(seconds(5));
    for (int i = 0; i < Restores; i++) {
        const rows::MemoryRows copy = *rows_;
        writeSome(draw(1, 40), milliseconds(200));
        restore(copy);
        pass(seconds(2));
        put("server", "leaving-" + std::to_string(i));
        // A server that leaves must get no more work after two seconds.
        pass(milliseconds(1700));
        for (const auto &vm : vms_) {
            EXPECT_EQ(vm->known, stored()) << vm->presence->instance();
        }
    }
}

INSTANTIATE_TEST_SUITE_P(Seeds, RestoredStoreSeeds, testing::Range(1U, 25U));

} // namespace

} // namespace cardamomlift::presence
