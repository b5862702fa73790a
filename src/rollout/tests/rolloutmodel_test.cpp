#include "rollout/tests/rolloutmodel.h"

#include <gtest/gtest.h>

namespace cardamomlift::rollout::model {

namespace {

constexpr int Seeds = 60;

struct Fleet {
    std::size_t vms;
    std::size_t servers;
    double requestsPerSecond;
};

constexpr std::array<Fleet, 3> Fleets{Fleet{8, 4, 32}, Fleet{63, 4, 190}, Fleet{63, 112, 430}};

// Simulates all VMs of a deployment at once, with the usual delays of records and reports.
TEST(RolloutModel, ABadVersionStaysWithinTheLimitsForEveryFault)
{
    for (const Fleet &fleet : Fleets) {
        for (const Fault fault : {Fault::Fails, Fault::Slow, Fault::TurnsBad, Fault::FailsUnderLoad, Fault::FailsOnOneRoute}) {
            for (int seed = 1; seed <= Seeds; seed++) {
                Scenario scenario;
                scenario.vms = fleet.vms;
                scenario.servers = fleet.servers;
                scenario.requestsPerSecond = fleet.requestsPerSecond;
                scenario.fault = fault;
                scenario.seed = static_cast<std::uint64_t>(seed);
                const SimulationResult outcome = Simulation(scenario).run();
                const std::string scenarioName = testing::PrintToString(fleet.vms) + " VMs, fault " + testing::PrintToString(static_cast<int>(fault))
                    + ", seed " + testing::PrintToString(seed);
                EXPECT_EQ(outcome.phase, Phase::RolledBack) << scenarioName;
                EXPECT_LE(static_cast<double>(outcome.exposed), outcome.exposureBound) << scenarioName;
                if (outcome.fiftiethBadAt) {
                    EXPECT_LE(*outcome.lastSendAt - *outcome.fiftiethBadAt, RolloutLimits().rollbackWithin) << scenarioName;
                }
            }
        }
    }
}

TEST(RolloutModel, AGoodVersionSucceedsInTimeDespiteABadServerACrashOrABurst)
{
    for (const Noise &noise : {Noise{}, Noise{true, false, false}, Noise{false, true, false}, Noise{false, false, true}}) {
        for (int seed = 1; seed <= Seeds; seed++) {
            Scenario scenario;
            scenario.noise = noise;
            scenario.seed = static_cast<std::uint64_t>(seed);
            const SimulationResult outcome = Simulation(scenario).run();
            EXPECT_EQ(outcome.phase, Phase::Succeeded) << "seed " << seed;
            EXPECT_LE(outcome.endedAt, scenario.timeLimit) << "seed " << seed;
        }
    }
}

} // namespace

} // namespace cardamomlift::rollout::model
