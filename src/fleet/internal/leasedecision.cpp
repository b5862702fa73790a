#include "fleet/leasedecision.h"

namespace cardamomlift::fleet {

LeaseAction decideLease(const LeaseView &leaseView, const std::string &self, TimePoint now, Duration leaseDuration)
{
    if (!leaseView.seen) {
        return LeaseAction::Take;
    }
    const bool isHolder = leaseView.seen->holder == self && leaseView.seen->fence == leaseView.heldFence;
    if (isHolder && now < leaseView.heldUntil) {
        return LeaseAction::Renew;
    }
    return now - leaseView.unchangedSince >= leaseDuration ? LeaseAction::Take : LeaseAction::Wait;
}

void observeRow(LeaseView &leaseView, const std::optional<LeaseRow> &row, TimePoint now)
{
    const bool isSame = leaseView.seen && row && leaseView.seen->nonce == row->nonce;
    if (!isSame) {
        leaseView.unchangedSince = now;
    }
    leaseView.seen = row;
    if (!row || row->fence != leaseView.heldFence) {
        leaseView.heldFence = 0;
    }
}

void recordWrite(LeaseView &leaseView, const LeaseRow &row, TimePoint sentAt, Duration leaseDuration)
{
    leaseView.seen = row;
    leaseView.unchangedSince = sentAt;
    leaseView.heldFence = row.fence;
    leaseView.heldUntil = sentAt + leaseDuration;
}

bool isHeld(const LeaseView &leaseView, TimePoint now, Duration margin)
{
    return leaseView.heldFence != 0 && now + margin < leaseView.heldUntil;
}

} // namespace cardamomlift::fleet
