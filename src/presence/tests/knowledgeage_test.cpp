#include "presence/tests/tablerelaytest.h"

namespace cardamomlift::presence {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Random changes of a table while VMs lose the store, each other and datagrams, and restart.
class KnowledgeAgeSeeds : public TableRelayTest, public testing::WithParamInterface<unsigned>
{
protected:
    int draw(int least, int most)
    {
        return std::uniform_int_distribution(least, most)(random_);
    }

    Vm &randomVm()
    {
        return *vms_[random_() % vms_.size()];
    }

    void writeRow()
    {
        const std::string key = "key-" + std::to_string(draw(0, 3));
        const bool isLarge = draw(0, 9) == 0;
        std::string value = std::to_string(++written_) + " ";
        if (isLarge) {
            value += incompressibleText(4000, random_);
        }
        put(key, value);
        writes_.push_back({loop_->now(), key, written_});
    }

    void injectFault()
    {
        Vm &vm = randomVm();
        switch (draw(0, 9)) {
        case 0:
            vm.store->faults.silent = true;
            break;
        case 1:
            vm.store->faults.down = true;
            break;
        case 2:
            vm.socket->isCut = true;
            break;
        case 3:
            network_.isHolding = true;
            break;
        case 4:
            rows_->compact();
            break;
        case 5:
            restartVm();
            break;
        case 6:
            put("other", std::to_string(written_), "other");
            break;
        default:
            clearFaults();
            break;
        }
    }

    void clearFaults()
    {
        for (const auto &vm : vms_) {
            vm->store->faults = {};
            vm->socket->isCut = false;
        }
        release();
    }

    void release()
    {
        network_.isHolding = false;
        std::vector<std::pair<http1::Endpoint, std::string>> late = std::exchange(network_.held, {});
        std::shuffle(late.begin(), late.end(), random_);
        for (const auto &[to, bytes] : late) {
            network_.deliver(to, bytes);
        }
    }

    void restartVm()
    {
        const std::size_t index = random_() % vms_.size();
        Vm &vm = *vms_[index];
        vm.watch->stop();
        vm = Vm();
        startVm(vm, index, std::uniform_int_distribution<std::uint64_t>()(random_));
    }

    /// Each VM must know all writes before the time at which its watch confirms that its knowledge was complete.
    void expectConfirmationsHold() const
    {
        for (const auto &vm : vms_) {
            const auto confirmedAt = vm->watch->confirmedAt();
            for (const Written &write : writes_) {
                if (!confirmedAt || write.at >= *confirmedAt) {
                    break;
                }
                const auto known = vm->known.find(write.key);
                ASSERT_TRUE(known != vm->known.end() && std::stoi(known->second) >= write.value)
                    << vm->presence->instance() << " lacks " << write.key << " " << write.value << " of " << (loop_->now() - write.at).count() / 1000
                    << " ms ago, confirmed " << (loop_->now() - *confirmedAt).count() / 1000 << " ms ago";
            }
        }
    }

    struct Written {
        TimePoint at;
        std::string key;
        int value = 0;
    };
    std::vector<Written> writes_;
    std::mt19937 random_{GetParam()};

private:
    int written_ = 0;
};

// Guards against a VM that confirms a later time than that up to which it knows all changes. Revoked API keys and draining
// servers are detected late then, as both depend on the age of this knowledge.
TEST_P(KnowledgeAgeSeeds, NoVmTakesItsKnowledgeForNewerThanItIs)
{
    constexpr int Rounds = 120;
    network_.loss = 0.03;
    const bool isLarge = GetParam() % 3 == 0;
    start(isLarge ? 30 : 7, isLarge ? 3 : 1);
    advance(seconds(4));
    for (int i = 0; i < Rounds && !HasFatalFailure(); i++) {
        if (draw(0, 1) == 0) {
            injectFault();
        }
        if (draw(0, 2) == 0) {
            writeRow();
        }
        advance(milliseconds(draw(1, 40) * 10), [this] { expectConfirmationsHold(); });
    }
}

INSTANTIATE_TEST_SUITE_P(Seeds, KnowledgeAgeSeeds, testing::Range(1U, 31U));

} // namespace

} // namespace cardamomlift::presence
