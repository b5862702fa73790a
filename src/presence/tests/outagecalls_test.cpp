#include "presence/tests/tablerelaytest.h"

namespace cardamomlift::presence {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// 88 VMs in four failure domains, for all of which the store is unavailable.
class OutageCalls : public TableRelayTest
{
protected:
    OutageCalls()
    {
        start(88, 4);
        advance(seconds(10));
        setDown(true);
    }

    void setDown(bool isDown)
    {
        for (const auto &vm : vms_) {
            vm->store->faults.down = isDown;
        }
    }

    std::size_t unreachableCount() const
    {
        return static_cast<std::size_t>(
            std::count_if(vms_.begin(), vms_.end(), [this](const auto &vm) { return vm->watch->lastUnreachableAt() == loop_->now(); }));
    }
};

// Load: the store refuses all VMs for 10 s. Refused calls are charged too.
TEST_F(OutageCalls, FewVmsOfEachGroupPollTheStoreWhileItIsDown)
{
    const std::uint64_t before = storeCalls();
    advance(seconds(10));
    // Two tables: three VMs of four groups every 0.8 s and 76 others every 4 s make 68 calls a second; the first seconds of the outage
    // more, until the VMs have heard of each other's.
    EXPECT_LE(storeCalls() - before, 1200U);
}

// Load: the first change after such an outage.
TEST_F(OutageCalls, AllVmsLearnOfAChangeSoonAfterTheOutage)
{
    advance(seconds(10));
    setDown(false);
    put("a", "1");
    advance(milliseconds(1000));
    EXPECT_TRUE(allKnow("a", "1"));
    advance(milliseconds(3000));
    EXPECT_EQ(unreachableCount(), 0U) << "each polls within 4 s and has reached the store itself";
}

// Load: the same, and the VMs that poll the store are cut off during the outage.
TEST_F(OutageCalls, OtherVmsPollWhenThoseThatDoAreCutOff)
{
    advance(seconds(5));
    std::vector<Vm *> byHash;
    for (const auto &vm : vms_) {
        byHash.push_back(vm.get());
    }
    std::sort(byHash.begin(), byHash.end(), [](const Vm *a, const Vm *b) { return nameHash(a->presence->instance()) < nameHash(b->presence->instance()); });
    constexpr std::size_t CutOff = 40;
    for (std::size_t i = 0; i < CutOff; i++) {
        byHash[i]->socket->isCut = true;
        byHash[i]->store->faults.silent = true;
    }
    advance(seconds(5));
    setDown(false);
    put("a", "1");
    advance(milliseconds(1000));
    for (std::size_t i = CutOff; i < byHash.size(); i++) {
        EXPECT_TRUE(byHash[i]->known.contains("a")) << byHash[i]->presence->instance();
    }
}

} // namespace

} // namespace cardamomlift::presence
