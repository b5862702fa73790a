#include "recovery/streammachine.h"

#include <utility>

namespace cardamomlift::recovery {

namespace {

using engine::StreamEnd;

void cancelLeg(StreamStep &step, LegId &leg)
{
    if (leg != NoLeg) {
        step.cancel.push_back(std::exchange(leg, NoLeg));
    }
}

void endStream(StreamMachine &machine, StreamStep &step, StreamEnd end)
{
    cancelLeg(step, machine.current);
    cancelLeg(step, machine.successor);
    machine.ended = true;
    machine.isPreparing = false;
    step.end = end;
}

/// The current leg is lost for good: a successor or a prepared move goes on, or the owner has to.
void loseCurrent(StreamMachine &machine, StreamStep &step, StreamEnd end)
{
    if (end == StreamEnd::Broken) {
        // It may go on at an engine that we don't reach.
        cancelLeg(step, machine.current);
    }
    machine.current = NoLeg;
    if (machine.successor == NoLeg && !machine.isPreparing) {
        endStream(machine, step, end);
    }
}

StreamStep onCurrentEnd(StreamMachine &machine, StreamEnd end)
{
    StreamStep step;
    if (end == StreamEnd::Finished) {
        machine.current = NoLeg;
        endStream(machine, step, end);
    } else if (end == StreamEnd::Rejected && !machine.resumeTried) {
        machine.current = NoLeg;
        endStream(machine, step, end);
    } else if (end == StreamEnd::Broken && !machine.resumeTried && machine.successor == NoLeg) {
        machine.resumeTried = true;
        step.resume = true;
    } else {
        // NOTE After a resume the engine's refusal says only that the stream is lost, not that it never ran.
        loseCurrent(machine, step, machine.resumeTried ? StreamEnd::Broken : end);
    }
    return step;
}

StreamStep onSuccessorEnd(StreamMachine &machine, StreamEnd end)
{
    StreamStep step;
    if (end == StreamEnd::Broken) {
        // It may go on at an engine that we don't reach.
        cancelLeg(step, machine.successor);
    }
    machine.successor = NoLeg;
    if (end == StreamEnd::Finished) {
        // It had nothing to add: the output so far is the whole answer.
        endStream(machine, step, end);
    } else if (machine.current == NoLeg) {
        endStream(machine, step, end == StreamEnd::Rejected ? end : StreamEnd::Broken);
    }
    return step;
}

StreamStep dropSuccessor(StreamMachine &machine)
{
    StreamStep step;
    cancelLeg(step, machine.successor);
    if (machine.current == NoLeg) {
        endStream(machine, step, StreamEnd::Broken);
    }
    return step;
}

} // namespace

StreamStep onToken(StreamMachine &machine, LegId leg, std::uint64_t position)
{
    StreamStep step;
    if (machine.ended || leg == NoLeg || (leg != machine.current && leg != machine.successor)) {
        return step;
    }
    if (position > machine.position) {
        // A token is missing; the rest of this connection is of no use.
        return leg == machine.current ? onCurrentEnd(machine, StreamEnd::Broken) : dropSuccessor(machine);
    }
    if (leg == machine.successor) {
        cancelLeg(step, machine.current);
        machine.current = std::exchange(machine.successor, NoLeg);
        machine.resumeTried = false;
        step.switched = true;
    }
    if (position == machine.position) {
        machine.position++;
        machine.resumeTried = false;
        step.forward = true;
    }
    return step;
}

StreamStep onLegEnd(StreamMachine &machine, LegId leg, StreamEnd end)
{
    if (machine.ended || leg == NoLeg) {
        return {};
    }
    if (leg == machine.current) {
        return onCurrentEnd(machine, end);
    }
    return leg == machine.successor ? onSuccessorEnd(machine, end) : StreamStep();
}

StreamStep onStalled(StreamMachine &machine, LegId leg)
{
    StreamStep step;
    if (machine.ended || leg == NoLeg) {
        return step;
    }
    if (leg == machine.successor) {
        return dropSuccessor(machine);
    }
    if (leg != machine.current) {
        return step;
    }
    if (!machine.resumeTried && machine.successor == NoLeg) {
        machine.resumeTried = true;
        step.resume = true;
        return step;
    }
    loseCurrent(machine, step, StreamEnd::Broken);
    return step;
}

StreamStep onMoveWanted(StreamMachine &machine)
{
    StreamStep step;
    if (machine.ended || machine.isPreparing || machine.successor != NoLeg || machine.current == NoLeg) {
        return step;
    }
    machine.isPreparing = true;
    step.prepareMove = true;
    return step;
}

StreamStep onMovePrepared(StreamMachine &machine, LegId successor)
{
    StreamStep step;
    if (machine.ended) {
        cancelLeg(step, successor);
        return step;
    }
    machine.isPreparing = false;
    machine.successor = successor;
    if (machine.current == NoLeg && successor == NoLeg) {
        endStream(machine, step, StreamEnd::Broken);
    }
    return step;
}

StreamStep onCancel(StreamMachine &machine)
{
    StreamStep step;
    if (!machine.ended) {
        endStream(machine, step, StreamEnd::Cancelled);
    }
    return step;
}

} // namespace cardamomlift::recovery
