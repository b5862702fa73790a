// Walks every state that the machine can reach over all orders of events and faults.

#include "recovery/streammachine.h"

#include <gtest/gtest.h>

#include <deque>
#include <set>
#include <string>

using namespace cardamomlift;
using namespace cardamomlift::recovery;
using engine::StreamEnd;

namespace {

constexpr std::uint64_t AnswerLength = 3;
constexpr std::size_t MostLegs = 4;

/// An engine's stream and our connection to it.
struct LegModel {
    std::uint64_t next = 0; ///< Position of the next token on the connection.
    bool connected = true;
    bool running = true; ///< At the engine, as far as nobody stopped it.
};

struct World {
    StreamMachine machine;
    std::vector<LegModel> legs; ///< Leg 1 is at index 0.
    std::uint64_t forwarded = 0;
    bool resumedWithoutProgress = false;
    std::string path; ///< For the message of a failure; not part of the state.

    std::string key() const
    {
        std::string key;
        const auto add = [&](std::uint64_t value) {
            key += std::to_string(value) + ",";
        };
        add(machine.position);
        add(machine.current);
        add(machine.successor);
        add(machine.isPreparing);
        add(machine.resumeTried);
        add(machine.ended);
        for (const LegModel &leg : legs) {
            add(leg.next);
            add(leg.connected);
            add(leg.running);
        }
        return key;
    }
};

LegModel &legOf(World &world, LegId id)
{
    return world.legs[id - 1];
}

void checkEnd(const World &world, StreamEnd end)
{
    EXPECT_TRUE(world.machine.ended) << world.path;
    if (end == StreamEnd::Finished) {
        EXPECT_EQ(world.forwarded, AnswerLength) << world.path;
    }
    for (const LegModel &leg : world.legs) {
        // Whoever is still running there is paid for and read by nobody.
        EXPECT_FALSE(leg.running) << world.path;
    }
}

void checkAlive(const World &world)
{
    const StreamMachine &machine = world.machine;
    const bool hasReader =
        (machine.current != NoLeg && world.legs[machine.current - 1].connected) || (machine.successor != NoLeg && world.legs[machine.successor - 1].connected);
    EXPECT_TRUE(hasReader || machine.isPreparing) << "nothing can happen any more: " << world.path;
}

void carryOut(World &world, const StreamStep &step, LegId source)
{
    for (const LegId id : step.cancel) {
        legOf(world, id).running = false;
        legOf(world, id).connected = false;
    }
    if (step.forward) {
        EXPECT_EQ(source, world.machine.current) << world.path;
        EXPECT_EQ(world.machine.position, world.forwarded + 1) << world.path;
        world.forwarded = world.machine.position;
        world.resumedWithoutProgress = false;
    }
    if (step.switched) {
        world.resumedWithoutProgress = false;
    }
    if (step.resume) {
        EXPECT_FALSE(world.resumedWithoutProgress) << world.path;
        world.resumedWithoutProgress = true;
        legOf(world, world.machine.current).connected = true;
        legOf(world, world.machine.current).next = world.machine.position;
    }
    if (step.end) {
        checkEnd(world, *step.end);
    } else if (!world.machine.ended) {
        checkAlive(world);
    }
}

/// All worlds one event away.
class Successors
{
public:
    explicit Successors(const World &world)
        : from_(world)
    {
        for (LegId id = 1; id <= world.legs.size(); id++) {
            addLegEvents(id);
        }
        addMoveEvents();
        add("cancel", [](World &world) { return onCancel(world.machine); });
    }

    std::vector<World> worlds;

private:
    template<class Event>
    void add(const std::string &name, Event event, LegId source = NoLeg)
    {
        World next = from_;
        next.path += " " + name;
        const bool wasEnded = next.machine.ended;
        const StreamStep step = event(next);
        if (wasEnded) {
            const bool acts = step.forward || step.resume || step.prepareMove || step.end;
            EXPECT_FALSE(acts) << next.path;
        }
        carryOut(next, step, source);
        worlds.push_back(std::move(next));
    }

    void addEnd(const std::string &name, LegId id, StreamEnd end, bool stillRunning)
    {
        add(
            name,
            [&](World &world) {
                legOf(world, id).connected = false;
                legOf(world, id).running = stillRunning;
                return onLegEnd(world.machine, id, end);
            },
            id);
    }

    void addLegEvents(LegId id)
    {
        const LegModel &leg = from_.legs[id - 1];
        const std::string number = std::to_string(id);
        // Also from legs that were cancelled: their bytes may come late.
        if (leg.next < AnswerLength) {
            add(
                "token" + number, [&](World &world) { return onToken(world.machine, id, legOf(world, id).next++); }, id);
        }
        if (leg.next + 1 < AnswerLength) {
            add(
                "gap" + number, [&](World &world) { return onToken(world.machine, id, legOf(world, id).next + 1); }, id);
        }
        if (!leg.connected) {
            return;
        }
        if (leg.next == AnswerLength) {
            addEnd("finished" + number, id, StreamEnd::Finished, false);
        }
        addEnd("broken" + number, id, StreamEnd::Broken, leg.running);
        addEnd("refused" + number, id, StreamEnd::Refused, false);
        addEnd("rejected" + number, id, StreamEnd::Rejected, false);
        add(
            "stalled" + number, [&](World &world) { return onStalled(world.machine, id); }, id);
    }

    void addMoveEvents()
    {
        add("move", [](World &world) { return onMoveWanted(world.machine); });
        if (!from_.machine.isPreparing) {
            return;
        }
        add("no-server", [](World &world) { return onMovePrepared(world.machine, NoLeg); });
        if (from_.legs.size() < MostLegs) {
            add("prepared", [](World &world) {
                world.legs.push_back({world.machine.position, true, true});
                return onMovePrepared(world.machine, world.legs.size());
            });
        }
    }

    const World &from_;
};

} // namespace

TEST(StreamMachine, HoldsItsPromisesInEveryReachableState)
{
    World first;
    first.machine.current = 1;
    first.legs.push_back({});
    std::set<std::string> seen{first.key()};
    std::deque<World> open{first};
    std::size_t steps = 0;
    while (!open.empty() && !testing::Test::HasFailure()) {
        const World world = open.front();
        open.pop_front();
        Successors successors(world);
        for (World &next : successors.worlds) {
            steps++;
            if (seen.insert(next.key()).second) {
                open.push_back(std::move(next));
            }
        }
    }
    RecordProperty("states", static_cast<int>(seen.size()));
    RecordProperty("steps", static_cast<int>(steps));
    EXPECT_GT(seen.size(), 100U);
}
