// Model check: explores every state that the state machine can reach through any order of events and faults.

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
constexpr std::size_t MaxAttempts = 4;

/// The stream at an engine and the connection to it.
struct AttemptModel {
    std::uint64_t next = 0; ///< Position of the next token on the connection.
    bool connected = true;
    bool running = true; ///< At the engine, since nobody cancelled it and it has not ended.
};

/// State of the machine and of the engines.
struct ModelState {
    StreamMachine machine;
    std::vector<AttemptModel> attempts; ///< Attempt 1 is at index 0.
    std::uint64_t forwarded = 0;
    bool resumedWithoutProgress = false;
    std::string path; ///< Events so far, for failure messages; not part of the key.

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
        for (const AttemptModel &attempt : attempts) {
            add(attempt.next);
            add(attempt.connected);
            add(attempt.running);
        }
        return key;
    }
};

AttemptModel &attemptOf(ModelState &state, AttemptId id)
{
    return state.attempts[id - 1];
}

void checkEnd(const ModelState &state, StreamEnd end)
{
    EXPECT_TRUE(state.machine.ended) << state.path;
    if (end == StreamEnd::Finished) {
        EXPECT_EQ(state.forwarded, AnswerLength) << state.path;
    }
    for (const AttemptModel &attempt : state.attempts) {
        // An attempt that is still running would be charged for without a reader.
        EXPECT_FALSE(attempt.running) << state.path;
    }
}

void checkCanProgress(const ModelState &state)
{
    const StreamMachine &machine = state.machine;
    const bool hasReader = (machine.current != NoAttempt && state.attempts[machine.current - 1].connected)
        || (machine.successor != NoAttempt && state.attempts[machine.successor - 1].connected);
    EXPECT_TRUE(hasReader || machine.isPreparing) << "no further event is possible: " << state.path;
}

void applyActions(ModelState &state, const StreamActions &actions, AttemptId source)
{
    for (const AttemptId id : actions.cancel) {
        attemptOf(state, id).running = false;
        attemptOf(state, id).connected = false;
    }
    if (actions.forward) {
        EXPECT_EQ(source, state.machine.current) << state.path;
        EXPECT_EQ(state.machine.position, state.forwarded + 1) << state.path;
        state.forwarded = state.machine.position;
        state.resumedWithoutProgress = false;
    }
    if (actions.switched) {
        state.resumedWithoutProgress = false;
    }
    if (actions.resume) {
        EXPECT_FALSE(state.resumedWithoutProgress) << state.path;
        state.resumedWithoutProgress = true;
        attemptOf(state, state.machine.current).connected = true;
        attemptOf(state, state.machine.current).next = state.machine.position;
    }
    if (actions.end) {
        checkEnd(state, *actions.end);
    } else if (!state.machine.ended) {
        checkCanProgress(state);
    }
}

/// All states that are one event away.
class Successors
{
public:
    explicit Successors(const ModelState &state)
        : from_(state)
    {
        for (AttemptId id = 1; id <= state.attempts.size(); id++) {
            addAttemptEvents(id);
        }
        addMoveEvents();
        add("cancel", [](ModelState &state) { return onCancel(state.machine); });
    }

    std::vector<ModelState> states;

private:
    template<class Event>
    void add(const std::string &name, Event event, AttemptId source = NoAttempt)
    {
        ModelState next = from_;
        next.path += " " + name;
        const bool wasEnded = next.machine.ended;
        const StreamActions actions = event(next);
        if (wasEnded) {
            const bool acts = actions.forward || actions.resume || actions.prepareMove || actions.end;
            EXPECT_FALSE(acts) << next.path;
        }
        applyActions(next, actions, source);
        states.push_back(std::move(next));
    }

    void addEnd(const std::string &name, AttemptId id, StreamEnd end, bool stillRunning)
    {
        add(
            name,
            [&](ModelState &state) {
                attemptOf(state, id).connected = false;
                attemptOf(state, id).running = stillRunning;
                return onAttemptEnd(state.machine, id, end);
            },
            id);
    }

    void addAttemptEvents(AttemptId id)
    {
        const AttemptModel &attempt = from_.attempts[id - 1];
        const std::string number = std::to_string(id);
        // Includes attempts that were cancelled: their tokens may arrive late.
        if (attempt.next < AnswerLength) {
            add(
                "token" + number, [&](ModelState &state) { return onToken(state.machine, id, attemptOf(state, id).next++); }, id);
        }
        if (attempt.next + 1 < AnswerLength) {
            add(
                "gap" + number, [&](ModelState &state) { return onToken(state.machine, id, attemptOf(state, id).next + 1); }, id);
        }
        if (!attempt.connected) {
            return;
        }
        if (attempt.next == AnswerLength) {
            addEnd("finished" + number, id, StreamEnd::Finished, false);
        }
        addEnd("broken" + number, id, StreamEnd::Broken, attempt.running);
        addEnd("refused" + number, id, StreamEnd::Refused, false);
        addEnd("rejected" + number, id, StreamEnd::Rejected, false);
        add(
            "stalled" + number, [&](ModelState &state) { return onStalled(state.machine, id); }, id);
    }

    void addMoveEvents()
    {
        add("move", [](ModelState &state) { return onMoveWanted(state.machine); });
        if (!from_.machine.isPreparing) {
            return;
        }
        add("no-server", [](ModelState &state) { return onMovePrepared(state.machine, NoAttempt); });
        if (from_.attempts.size() < MaxAttempts) {
            add("prepared", [](ModelState &state) {
                state.attempts.push_back({state.machine.position, true, true});
                return onMovePrepared(state.machine, state.attempts.size());
            });
        }
    }

    const ModelState &from_;
};

} // namespace

TEST(StreamMachine, KeepsItsInvariantsInEveryReachableState)
{
    ModelState first;
    first.machine.current = 1;
    first.attempts.push_back({});
    std::set<std::string> seen{first.key()};
    std::deque<ModelState> queue{first};
    std::size_t transitions = 0;
    while (!queue.empty() && !testing::Test::HasFailure()) {
        const ModelState state = queue.front();
        queue.pop_front();
        Successors successors(state);
        for (ModelState &next : successors.states) {
            transitions++;
            if (seen.insert(next.key()).second) {
                queue.push_back(std::move(next));
            }
        }
    }
    RecordProperty("states", static_cast<int>(seen.size()));
    RecordProperty("steps", static_cast<int>(transitions));
    EXPECT_GT(seen.size(), 100U);
}
