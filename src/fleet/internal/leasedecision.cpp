#include "fleet/leasedecision.h"

namespace cardamomlift::fleet {

LeaseAction decideLease(const LeaseKnowledge &knowledge, const std::string &self, TimePoint now, Duration lease)
{
    if (!knowledge.seen) {
        return LeaseAction::Take;
    }
    const bool isOurs = knowledge.seen->holder == self && knowledge.seen->fence == knowledge.heldFence;
    if (isOurs && now < knowledge.heldUntil) {
        return LeaseAction::Renew;
    }
    return now - knowledge.seenSince >= lease ? LeaseAction::Take : LeaseAction::Wait;
}

void noteRow(LeaseKnowledge &knowledge, const std::optional<LeaseRow> &row, TimePoint now)
{
    const bool isSame = knowledge.seen && row && knowledge.seen->nonce == row->nonce;
    if (!isSame) {
        knowledge.seenSince = now;
    }
    knowledge.seen = row;
    if (!row || row->fence != knowledge.heldFence) {
        knowledge.heldFence = 0;
    }
}

void noteWritten(LeaseKnowledge &knowledge, const LeaseRow &row, TimePoint sentAt, Duration lease)
{
    knowledge.seen = row;
    knowledge.seenSince = sentAt;
    knowledge.heldFence = row.fence;
    knowledge.heldUntil = sentAt + lease;
}

bool isHeld(const LeaseKnowledge &knowledge, TimePoint now, Duration margin)
{
    return knowledge.heldFence != 0 && now + margin < knowledge.heldUntil;
}

} // namespace cardamomlift::fleet
