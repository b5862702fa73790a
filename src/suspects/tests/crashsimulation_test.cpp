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

constexpr int Tokens = 12; ///< Length of the answer of a harmless request: more than the margin that clears it of a crash.

/// A request of the simulation.
struct SimulatedRequest {
    Fingerprint fingerprint = 0;
    bool isPoison = false;
    std::uint64_t crashAt = 0; ///< Position at which a poison request crashes its server.
    std::uint64_t position = 0;
    int server = -1;
    bool answered = false;
    bool refused = false;
};

/// A fleet whose VMs share one crash store. A server that crashes is replaced by a new instance.
struct SimulatedFleet {
    CrashStore store;
    ManualClock clock;
    std::vector<SimulatedRequest> requests;
    int servers = 3;
    int nextInstance = 3;
    std::vector<int> instances{0, 1, 2};
    int crashes = 0;

    void place(SimulatedRequest &request, int server)
    {
        const SuspectState state = store.stateOf(request.fingerprint, clock.now());
        if (state == SuspectState::Blocked) {
            store.block(request.fingerprint, clock.now() + CrashRetention);
            request.refused = true;
            return;
        }
        if (state != SuspectState::Undecided) {
            request.server = server;
        }
    }

    void step(SimulatedRequest &request)
    {
        if (request.isPoison && request.position >= request.crashAt) {
            crash(request.server);
            return;
        }
        request.position++;
        store.clear({request.fingerprint, request.position});
        if (!request.isPoison && request.position >= Tokens) {
            request.answered = true;
            request.server = -1;
            store.clear({request.fingerprint, CompleteAnswer});
        }
    }

    void crash(int server)
    {
        crashes++;
        std::vector<Progress> inFlight;
        for (SimulatedRequest &request : requests) {
            if (request.server == server) {
                inFlight.push_back({request.fingerprint, request.position});
                request.server = -1;
            }
        }
        store.addCrash("server-" + std::to_string(instances[static_cast<std::size_t>(server)]), clock.now(), inFlight);
        instances[static_cast<std::size_t>(server)] = nextInstance++;
    }

    bool isDone(const SimulatedRequest &request) const
    {
        return request.answered || request.refused;
    }
};

SimulatedFleet makeFleet(int poisons, int harmless, std::uint64_t crashAt)
{
    SimulatedFleet fleet;
    for (int i = 0; i < poisons + harmless; i++) {
        // The order of fingerprints must not matter: poison requests get the lowest ones in some fleets, the highest in others.
        const auto fingerprint = static_cast<Fingerprint>(crashAt % 2 == 0 ? i + 1 : 100 - i);
        fleet.requests.push_back({fingerprint, i < poisons, crashAt});
    }
    return fleet;
}

void expectInvariants(const SimulatedFleet &fleet, int poisons, const std::string &what)
{
    for (const SimulatedRequest &request : fleet.requests) {
        EXPECT_FALSE(request.refused && !request.isPoison) << "a harmless request was refused: " << what;
        EXPECT_TRUE(request.isPoison ? request.refused : request.answered) << "neither answered nor refused: " << what;
    }
    EXPECT_LE(fleet.crashes, poisons * static_cast<int>(MaxCrashes + 1)) << what;
}

/// Gives each request that has not ended 400 turns, which is enough for all of them to end.
void finish(SimulatedFleet &fleet)
{
    for (int turn = 0; turn < 400; turn++) {
        fleet.clock.advance(std::chrono::milliseconds(100));
        for (std::size_t i = 0; i < fleet.requests.size(); i++) {
            SimulatedRequest &request = fleet.requests[i];
            if (fleet.isDone(request)) {
                continue;
            }
            if (request.server < 0) {
                fleet.place(request, static_cast<int>((i + static_cast<std::size_t>(turn)) % 3));
            } else {
                fleet.step(request);
            }
        }
    }
}

} // namespace

TEST(CrashSimulation, EveryPlacementOfOnePoisonAndThreeHarmlessRequests)
{
    // Covers all combinations of two rounds of placements, in each of which the four requests are placed on any of three servers.
    constexpr int Choices = 81; // 3^4
    int runs = 0;
    for (std::uint64_t crashAt : {0U, 1U, 9U}) {
        for (int first = 0; first < Choices; first++) {
            for (int second = 0; second < Choices; second++) {
                SimulatedFleet fleet = makeFleet(1, 3, crashAt);
                for (const int choice : {first, second}) {
                    int digits = choice;
                    for (SimulatedRequest &request : fleet.requests) {
                        if (!fleet.isDone(request) && request.server < 0) {
                            fleet.place(request, digits % 3);
                        }
                        digits /= 3;
                    }
                    for (std::uint64_t i = 0; i <= crashAt; i++) {
                        for (SimulatedRequest &request : fleet.requests) {
                            if (request.server >= 0) {
                                fleet.step(request);
                            }
                        }
                    }
                }
                finish(fleet);
                expectInvariants(fleet, 1, std::to_string(crashAt) + " " + std::to_string(first) + " " + std::to_string(second));
                runs++;
                if (testing::Test::HasFailure()) {
                    return;
                }
            }
        }
    }
    EXPECT_EQ(runs, 3 * Choices * Choices);
}

TEST(CrashSimulation, SeveralPoisonRequestsInAnyOrder)
{
    for (unsigned seed = 0; seed < 3000; seed++) {
        std::mt19937 random(seed);
        const int poisons = 1 + static_cast<int>(random() % 3);
        SimulatedFleet fleet = makeFleet(poisons, 6, random() % 10);
        for (int i = 0; i < 600; i++) {
            fleet.clock.advance(std::chrono::milliseconds(random() % 200));
            SimulatedRequest &request = fleet.requests[random() % fleet.requests.size()];
            if (fleet.isDone(request)) {
                continue;
            }
            if (request.server < 0) {
                fleet.place(request, static_cast<int>(random() % 3));
            } else {
                fleet.step(request);
            }
        }
        finish(fleet);
        expectInvariants(fleet, poisons, "seed " + std::to_string(seed));
        if (testing::Test::HasFailure()) {
            return;
        }
    }
}
