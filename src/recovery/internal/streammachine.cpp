#include "recovery/streammachine.h"

#include <utility>

namespace cardamomlift::recovery {

namespace {

using engine::StreamEnd;

void cancelAttempt(StreamActions &actions, AttemptId &attempt)
{
    if (attempt != NoAttempt) {
        actions.cancel.push_back(std::exchange(attempt, NoAttempt));
    }
}

void endStream(StreamMachine &machine, StreamActions &actions, StreamEnd end)
{
    cancelAttempt(actions, machine.current);
    cancelAttempt(actions, machine.successor);
    machine.ended = true;
    machine.isPreparing = false;
    actions.end = end;
}

/// The current attempt is lost: the stream continues with its successor or the move in preparation, or ends.
void loseCurrent(StreamMachine &machine, StreamActions &actions, StreamEnd end)
{
    if (end == StreamEnd::Broken) {
        // It may still be running at an engine that is unreachable.
        cancelAttempt(actions, machine.current);
    }
    machine.current = NoAttempt;
    if (machine.successor == NoAttempt && !machine.isPreparing) {
        endStream(machine, actions, end);
    }
}

StreamActions onCurrentEnd(StreamMachine &machine, StreamEnd end)
{
    StreamActions actions;
    if (end == StreamEnd::Finished) {
        machine.current = NoAttempt;
        endStream(machine, actions, end);
    } else if (end == StreamEnd::Rejected && !machine.resumeTried) {
        machine.current = NoAttempt;
        endStream(machine, actions, end);
    } else if (end == StreamEnd::Broken && !machine.resumeTried && machine.successor == NoAttempt) {
        machine.resumeTried = true;
        actions.resume = true;
    } else {
        // NOTE After a resume, a refusal by the engine means that the stream is lost, not that it never ran.
        loseCurrent(machine, actions, machine.resumeTried ? StreamEnd::Broken : end);
    }
    return actions;
}

StreamActions onSuccessorEnd(StreamMachine &machine, StreamEnd end)
{
    StreamActions actions;
    if (end == StreamEnd::Broken) {
        // It may still be running at an engine that is unreachable.
        cancelAttempt(actions, machine.successor);
    }
    machine.successor = NoAttempt;
    if (end == StreamEnd::Finished) {
        // It produced no further token: the output so far is the complete answer.
        endStream(machine, actions, end);
    } else if (machine.current == NoAttempt) {
        endStream(machine, actions, end == StreamEnd::Rejected ? end : StreamEnd::Broken);
    }
    return actions;
}

StreamActions dropSuccessor(StreamMachine &machine)
{
    StreamActions actions;
    cancelAttempt(actions, machine.successor);
    if (machine.current == NoAttempt) {
        endStream(machine, actions, StreamEnd::Broken);
    }
    return actions;
}

} // namespace

StreamActions onToken(StreamMachine &machine, AttemptId attempt, std::uint64_t position)
{
    StreamActions actions;
    if (machine.ended || attempt == NoAttempt || (attempt != machine.current && attempt != machine.successor)) {
        return actions;
    }
    if (position > machine.position) {
        // A token is missing, so the rest of this connection is useless.
        return attempt == machine.current ? onCurrentEnd(machine, StreamEnd::Broken) : dropSuccessor(machine);
    }
    if (attempt == machine.successor) {
        cancelAttempt(actions, machine.current);
        machine.current = std::exchange(machine.successor, NoAttempt);
        machine.resumeTried = false;
        actions.switched = true;
    }
    if (position == machine.position) {
        machine.position++;
        machine.resumeTried = false;
        actions.forward = true;
    }
    return actions;
}

StreamActions onAttemptEnd(StreamMachine &machine, AttemptId attempt, StreamEnd end)
{
    if (machine.ended || attempt == NoAttempt) {
        return {};
    }
    if (attempt == machine.current) {
        return onCurrentEnd(machine, end);
    }
    return attempt == machine.successor ? onSuccessorEnd(machine, end) : StreamActions();
}

StreamActions onStalled(StreamMachine &machine, AttemptId attempt)
{
    StreamActions actions;
    if (machine.ended || attempt == NoAttempt) {
        return actions;
    }
    if (attempt == machine.successor) {
        return dropSuccessor(machine);
    }
    if (attempt != machine.current) {
        return actions;
    }
    if (!machine.resumeTried && machine.successor == NoAttempt) {
        machine.resumeTried = true;
        actions.resume = true;
        return actions;
    }
    loseCurrent(machine, actions, StreamEnd::Broken);
    return actions;
}

StreamActions onMoveWanted(StreamMachine &machine)
{
    StreamActions actions;
    if (machine.ended || machine.isPreparing || machine.successor != NoAttempt || machine.current == NoAttempt) {
        return actions;
    }
    machine.isPreparing = true;
    actions.prepareMove = true;
    return actions;
}

StreamActions onMovePrepared(StreamMachine &machine, AttemptId successor)
{
    StreamActions actions;
    if (machine.ended) {
        cancelAttempt(actions, successor);
        return actions;
    }
    machine.isPreparing = false;
    machine.successor = successor;
    if (machine.current == NoAttempt && successor == NoAttempt) {
        endStream(machine, actions, StreamEnd::Broken);
    }
    return actions;
}

StreamActions onCancel(StreamMachine &machine)
{
    StreamActions actions;
    if (!machine.ended) {
        endStream(machine, actions, StreamEnd::Cancelled);
    }
    return actions;
}

} // namespace cardamomlift::recovery
