#include "suspects/crashevidence.h"
#include "suspects/crashstore.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>

using namespace cardamomlift;
using namespace cardamomlift::suspects;

namespace {

constexpr int Tokens = 12; ///< Of an innocent's answer: beyond the margin that clears.

/// One request of the walk.
struct Runner {
    Fingerprint fingerprint = 0;
    bool isPoison = false;
    std::uint64_t crashAt = 0; ///< Position at which a poison ends its server.
    std::uint64_t position = 0;
    int server = -1;
    bool answered = false;
    bool refused = false;
};

/// A fleet that shares one store: requests run on servers of one crash each, replaced when they die.
struct World {
    CrashStore store;
    ManualClock clock;
    std::vector<Runner> runners;
    int servers = 3;
    int nextInstance = 3;
    std::vector<int> instances{0, 1, 2};
    int crashes = 0;

    void place(Runner &runner, int server)
    {
        const Standing standing = store.standing(runner.fingerprint, clock.now());
        if (standing == Standing::Convicted) {
            store.convict(runner.fingerprint, clock.now() + RememberFor);
            runner.refused = true;
            return;
        }
        if (standing != Standing::Undecided) {
            runner.server = server;
        }
    }

    void step(Runner &runner)
    {
        if (runner.isPoison && runner.position >= runner.crashAt) {
            crash(runner.server);
            return;
        }
        runner.position++;
        store.clear({runner.fingerprint, runner.position});
        if (!runner.isPoison && runner.position >= Tokens) {
            runner.answered = true;
            runner.server = -1;
            store.clear({runner.fingerprint, WholeAnswer});
        }
    }

    void crash(int server)
    {
        crashes++;
        std::vector<Progress> present;
        for (Runner &runner : runners) {
            if (runner.server == server) {
                present.push_back({runner.fingerprint, runner.position});
                runner.server = -1;
            }
        }
        store.addCrash("server-" + std::to_string(instances[static_cast<std::size_t>(server)]), clock.now(), present);
        instances[static_cast<std::size_t>(server)] = nextInstance++;
    }

    bool isDone(const Runner &runner) const
    {
        return runner.answered || runner.refused;
    }
};

World worldOf(int poisons, int innocents, std::uint64_t crashAt)
{
    World world;
    for (int i = 0; i < poisons + innocents; i++) {
        // The order of fingerprints must not matter: poisons get the lowest in some worlds, the highest in others.
        const auto fingerprint = static_cast<Fingerprint>(crashAt % 2 == 0 ? i + 1 : 100 - i);
        world.runners.push_back({fingerprint, i < poisons, crashAt});
    }
    return world;
}

void expectInvariants(const World &world, int poisons, const std::string &what)
{
    for (const Runner &runner : world.runners) {
        EXPECT_FALSE(runner.refused && !runner.isPoison) << "an innocent was refused: " << what;
        EXPECT_TRUE(runner.isPoison ? runner.refused : runner.answered) << "not ended: " << what;
    }
    EXPECT_LE(world.crashes, poisons * static_cast<int>(MaxCrashes + 1)) << what;
}

/// Runs what is not done yet, in turns, until all is done or nothing moves.
void finish(World &world)
{
    for (int turn = 0; turn < 400; turn++) {
        world.clock.advance(std::chrono::milliseconds(100));
        for (std::size_t i = 0; i < world.runners.size(); i++) {
            Runner &runner = world.runners[i];
            if (world.isDone(runner)) {
                continue;
            }
            if (runner.server < 0) {
                world.place(runner, static_cast<int>((i + static_cast<std::size_t>(turn)) % 3));
            } else {
                world.step(runner);
            }
        }
    }
}

} // namespace

TEST(CrashWalk, EveryPlacementOfOnePoisonAndThreeInnocents)
{
    // The first six placements after each crash are walked exhaustively: each runner at each of three servers.
    constexpr int Choices = 81; // 3^4
    int walked = 0;
    for (std::uint64_t crashAt : {0U, 1U, 9U}) {
        for (int first = 0; first < Choices; first++) {
            for (int second = 0; second < Choices; second++) {
                World world = worldOf(1, 3, crashAt);
                for (const int choice : {first, second}) {
                    int digits = choice;
                    for (Runner &runner : world.runners) {
                        if (!world.isDone(runner) && runner.server < 0) {
                            world.place(runner, digits % 3);
                        }
                        digits /= 3;
                    }
                    for (std::uint64_t i = 0; i <= crashAt; i++) {
                        for (Runner &runner : world.runners) {
                            if (runner.server >= 0) {
                                world.step(runner);
                            }
                        }
                    }
                }
                finish(world);
                expectInvariants(world, 1, std::to_string(crashAt) + " " + std::to_string(first) + " " + std::to_string(second));
                walked++;
                if (testing::Test::HasFailure()) {
                    return;
                }
            }
        }
    }
    EXPECT_EQ(walked, 3 * Choices * Choices);
}

TEST(CrashWalk, SeveralPoisonsInAnyOrder)
{
    for (unsigned seed = 0; seed < 3000; seed++) {
        std::mt19937 random(seed);
        const int poisons = 1 + static_cast<int>(random() % 3);
        World world = worldOf(poisons, 6, random() % 10);
        for (int i = 0; i < 600; i++) {
            world.clock.advance(std::chrono::milliseconds(random() % 200));
            Runner &runner = world.runners[random() % world.runners.size()];
            if (world.isDone(runner)) {
                continue;
            }
            if (runner.server < 0) {
                world.place(runner, static_cast<int>(random() % 3));
            } else {
                world.step(runner);
            }
        }
        finish(world);
        expectInvariants(world, poisons, "seed " + std::to_string(seed));
        if (testing::Test::HasFailure()) {
            return;
        }
    }
}
