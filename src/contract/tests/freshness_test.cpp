#include "contract/freshness.h"

#include <gtest/gtest.h>

#include <bit>

using namespace cardamomlift;
using namespace cardamomlift::contract;

namespace {

constexpr unsigned MostVms = 9;

FreshnessInputs inputsOf(bool hasAllContracts, std::optional<Duration> tableAge, bool listKnown, std::size_t listed, std::size_t heard)
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

TEST(Freshness, IsJudgedAtEveryCombination)
{
    const std::optional<Duration> ages[] = {std::nullopt, Duration(0), FreshnessBound, FreshnessBound + Duration(1)};
    std::size_t combinations = 0;
    for (unsigned bits = 0; bits < 4; bits++) {
        for (const auto &age : ages) {
            for (std::size_t listed = 1; listed <= MostVms; listed++) {
                for (std::size_t heard = 0; heard < listed; heard++) {
                    const FreshnessInputs inputs = inputsOf(bits & 1U, age, bits & 2U, listed, heard);
                    EXPECT_EQ(evaluateFreshness(inputs), expectedReason(inputs)) << listed << " listed, " << heard << " heard";
                    combinations++;
                }
            }
        }
    }
    EXPECT_EQ(combinations, 4U * 4U * 45U);
}

// An edit is accepted with a majority in reach and in force there. Whatever majority that was, a VM that serves without
// the table has heard, since then, one VM of it.
TEST(Freshness, ServingWithoutTheTableMeetsEveryMajorityThatAccepted)
{
    for (unsigned vms = 1; vms <= MostVms; vms++) {
        const unsigned all = (1U << vms) - 1;
        for (unsigned holders = 1; holders <= all; holders++) {
            if (static_cast<std::size_t>(std::popcount(holders)) < majorityOf(vms)) {
                continue;
            }
            for (unsigned heard = 0; heard <= all; heard++) {
                if (heard & 1U) {
                    continue; // VM 0 is the one that judges.
                }
                const auto count = static_cast<std::size_t>(std::popcount(heard));
                if (mayTakeNewWork(evaluateFreshness(inputsOf(true, std::nullopt, true, vms, count)))) {
                    EXPECT_TRUE(holders & (heard | 1U));
                }
                // The same VM started again: what its earlier instance held is lost.
                if (completeFromPeers(inputsOf(false, std::nullopt, true, vms, count))) {
                    EXPECT_TRUE(holders & heard) << vms << " VMs, holders " << holders << ", heard " << heard;
                }
            }
        }
    }
}

TEST(Freshness, NobodyIsAMajorityBeforeTheListIsKnown)
{
    EXPECT_FALSE(hearsMajority(inputsOf(true, Duration(0), false, 1, 0)));
    EXPECT_FALSE(completeFromPeers(inputsOf(false, std::nullopt, false, 3, 2)));
    EXPECT_FALSE(completeFromPeers(inputsOf(false, std::nullopt, true, 1, 0)));
}
