#include "presence/tests/tablerelaytest.h"

namespace cardamomlift::presence {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A third of the VMs lose the store, and then one change comes that is too large for a datagram.
class MissedLargeChangeSeeds : public TableRelayTest, public testing::WithParamInterface<unsigned>
{
protected:
    /// Their rounds come at different moments, as those of processes that start by themselves.
    void startOneByOne(std::size_t count, std::size_t zones)
    {
        zones_ = zones;
        for (std::size_t i = 0; i < count; i++) {
            vms_.push_back(std::make_unique<Vm>());
            startVm(*vms_.back(), i, FirstIncarnation * (i + 1));
            pass(milliseconds(10 * (random_() % 5)));
        }
    }

    /// VMs without the store; they lack the change until it is back.
    std::vector<const Vm *> cutOff(std::size_t part)
    {
        std::vector<const Vm *> cut;
        for (std::size_t i = 0; i < vms_.size(); i++) {
            if (random_() % part == 0) {
                vms_[i]->store->faults.down = true;
                cut.push_back(vms_[i].get());
            }
        }
        return cut;
    }

    /// Changes another table that the VMs follow, so that they tell each other news between their rounds.
    void changeVmRow()
    {
        put("vm-gone", R"({"endpoint":"10.0.0.9:1","zone":"zone-0","incarnation":)" + std::to_string(++changes_) + "}", "entry-vms");
    }

    static constexpr Duration BetweenNews = milliseconds(150);

    void expectHonest(const std::vector<const Vm *> &cut, TimePoint changedAt) const
    {
        for (const Vm *vm : cut) {
            const auto confirmedAt = vm->watch->confirmedAt();
            ASSERT_TRUE(vm->known.contains("key") || !confirmedAt || *confirmedAt <= changedAt)
                << vm->presence->instance() << " lacks a change of " << (loop_->now() - changedAt).count() / 1000 << " ms ago, confirmed "
                << (loop_->now() - *confirmedAt).count() / 1000 << " ms ago";
        }
    }

    std::mt19937 random_{GetParam()};

private:
    int changes_ = 0;
};

// Guards against a VM that vouches for a manifest in which a key is still valid, because it took "nothing has changed" from
// the news of two moments.
TEST_P(MissedLargeChangeSeeds, AVmWithoutTheStoreNeverTakesItForKnown)
{
    network_.loop = loop_.get();
    startOneByOne(GetParam() % 2 == 0 ? 30 : 79, 4);
    pass(seconds(4) + milliseconds(random_() % 1000));
    const auto cut = cutOff(3);
    pass(milliseconds(400));
    const TimePoint changedAt = loop_->now();
    put("key", noise(4000, random_));
    for (Duration passed(0); passed < seconds(9) && !HasFatalFailure(); passed += BetweenNews) {
        changeVmRow();
        pass(BetweenNews, [&] { expectHonest(cut, changedAt); });
    }
}

INSTANTIATE_TEST_SUITE_P(Seeds, MissedLargeChangeSeeds, testing::Range(1U, 13U));

} // namespace

} // namespace cardamomlift::presence
