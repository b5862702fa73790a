#include "presence/tests/tablerelaytest.h"

namespace cardamomlift::presence {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A third of the VMs lose the store; then a change is made that is too large for a datagram.
class MissedLargeChangeSeeds : public TableRelayTest, public testing::WithParamInterface<unsigned>
{
protected:
    /// Starts the VMs at different times, so that their rounds are not aligned, as with independent processes.
    void startStaggered(std::size_t count, std::size_t zones)
    {
        zones_ = zones;
        for (std::size_t i = 0; i < count; i++) {
            vms_.push_back(std::make_unique<Vm>());
            startVm(*vms_.back(), i, FirstIncarnation * (i + 1));
            advance(milliseconds(10 * (random_() % 5)));
        }
    }

    /// Disconnects about one in @p part VMs from the store and returns them. They lack the change until they are reconnected.
    std::vector<const Vm *> disconnectSome(std::size_t part)
    {
        std::vector<const Vm *> disconnected;
        for (std::size_t i = 0; i < vms_.size(); i++) {
            if (random_() % part == 0) {
                vms_[i]->store->faults.down = true;
                disconnected.push_back(vms_[i].get());
            }
        }
        return disconnected;
    }

    /// Changes another relayed table, so that the VMs broadcast changes between their rounds.
    void changeVmRow()
    {
        put("vm-gone", R"({"endpoint":"10.0.0.9:1","zone":"zone-0","incarnation":)" + std::to_string(++changes_) + "}", "entry-vms");
    }

    static constexpr Duration TimeBetweenChanges = milliseconds(150);

    void expectConfirmationsHold(const std::vector<const Vm *> &disconnected, TimePoint changedAt) const
    {
        for (const Vm *vm : disconnected) {
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

// Guards against a VM that confirms an outdated manifest, in which a revoked key is still valid, because it combined the
// statement that nothing has changed from deltas of two different times.
TEST_P(MissedLargeChangeSeeds, AVmWithoutTheStoreNeverConfirmsPastAMissedChange)
{
    network_.loop = loop_.get();
    startStaggered(GetParam() % 2 == 0 ? 30 : 79, 4);
    advance(seconds(4) + milliseconds(random_() % 1000));
    const auto disconnected = disconnectSome(3);
    advance(milliseconds(400));
    const TimePoint changedAt = loop_->now();
    put("key", incompressibleText(4000, random_));
    for (Duration passed(0); passed < seconds(9) && !HasFatalFailure(); passed += TimeBetweenChanges) {
        changeVmRow();
        advance(TimeBetweenChanges, [&] { expectConfirmationsHold(disconnected, changedAt); });
    }
}

INSTANTIATE_TEST_SUITE_P(Seeds, MissedLargeChangeSeeds, testing::Range(1U, 13U));

} // namespace

} // namespace cardamomlift::presence
