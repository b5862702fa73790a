#include "contract/freshness.h"

#include <gtest/gtest.h>

#include <bit>

using namespace cardamomlift;
using namespace cardamomlift::contract;

namespace {

constexpr unsigned MaxVms = 9;

FreshnessInputs makeInputs(bool hasAllContracts, std::optional<Duration> tableAge, bool listKnown, std::size_t listed, std::size_t heard)
{
    return {hasAllContracts, tableAge, listKnown, listed, heard};
}

FreshnessReason expectedReason(const FreshnessInputs &inputs)
{
    if (!inputs.hasAllContracts) {
        return FreshnessReason::NoContracts;
    }
    if (inputs.tableAge && *inputs.tableAge <= FreshnessBound) {
        return FreshnessReason::ConfirmedByTable;
    }
    const bool majority = inputs.listKnown && 2 * (inputs.heard + 1) > inputs.listed;
    return majority ? FreshnessReason::ConfirmedByMajority : FreshnessReason::CutOff;
}

} // namespace

TEST(Freshness, EvaluatesEveryCombination)
{
    const std::optional<Duration> ages[] = {std::nullopt, Duration(0), FreshnessBound, FreshnessBound + Duration(1)};
    std::size_t combinations = 0;
    for (unsigned bits = 0; bits < 4; bits++) {
        for (const auto &age : ages) {
            for (std::size_t listed = 1; listed <= MaxVms; listed++) {
                for (std::size_t heard = 0; heard < listed; heard++) {
                    const FreshnessInputs inputs = makeInputs(bits & 1U, age, bits & 2U, listed, heard);
                    EXPECT_EQ(evaluateFreshness(inputs), expectedReason(inputs)) << listed << " listed, " << heard << " heard";
                    combinations++;
                }
            }
        }
    }
    EXPECT_EQ(combinations, 4U * 4U * 45U);
}

// Guards against a VM that accepts new work without an accepted edit while the table is unreachable. An edit is accepted,
// and put in force, with a majority in reach; a VM that relies on the majority rule is in that majority or hears a VM of it.
TEST(Freshness, MajorityRuleIntersectsEveryAcceptingMajority)
{
    for (unsigned vms = 1; vms <= MaxVms; vms++) {
        const unsigned all = (1U << vms) - 1;
        for (unsigned holders = 1; holders <= all; holders++) {
            if (static_cast<std::size_t>(std::popcount(holders)) < majorityOf(vms)) {
                continue;
            }
            for (unsigned heard = 0; heard <= all; heard++) {
                if (heard & 1U) {
                    continue; // VM 0 is the one that evaluates its freshness.
                }
                const auto count = static_cast<std::size_t>(std::popcount(heard));
                if (mayTakeNewWork(evaluateFreshness(makeInputs(true, std::nullopt, true, vms, count)))) {
                    EXPECT_TRUE(holders & (heard | 1U));
                }
                // The same VM after a restart: the contracts of its earlier process are lost, so it does not count itself.
                if (completeFromPeers(makeInputs(false, std::nullopt, true, vms, count))) {
                    EXPECT_TRUE(holders & heard) << vms << " VMs, holders " << holders << ", heard " << heard;
                }
            }
        }
    }
}

TEST(Freshness, NoMajorityBeforeTheVmListIsKnown)
{
    EXPECT_FALSE(hearsMajority(makeInputs(true, Duration(0), false, 1, 0)));
    EXPECT_FALSE(completeFromPeers(makeInputs(false, std::nullopt, false, 3, 2)));
    EXPECT_FALSE(completeFromPeers(makeInputs(false, std::nullopt, true, 1, 0)));
}
