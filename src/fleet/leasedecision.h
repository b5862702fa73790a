#pragma once

#include "kernel/clock.h"

#include <cstdint>
#include <optional>
#include <string>

namespace cardamomlift::fleet {

/// The lease as stored in its table row.
struct LeaseRow {
    std::string holder;
    std::uint64_t fence = 0; ///< Fencing token: incremented when the lease is taken, and sent with each order.
    std::string nonce; ///< Random; changes with each write of the row.
};

/// One VM's view of the lease. All times are of its own clock, so the VMs' clocks need not be synchronized.
struct LeaseView {
    std::optional<LeaseRow> seen; ///< The row as last read.
    TimePoint unchangedSince; ///< When this VM first saw the current nonce.
    std::uint64_t heldFence = 0; ///< Fencing token of our own lease; 0 if we are not the holder.
    TimePoint heldUntil; ///< When our lease expires unless renewed.
};

/// Next step of a VM towards the lease.
enum class LeaseAction {
    Wait, ///< Another VM may still hold it.
    Take, ///< Write ourselves as the new holder, on condition that the row has not changed.
    Renew,
};

/// Decides what to do at @p now. A row that has not changed for a whole lease duration has expired and may be taken.
LeaseAction decideLease(const LeaseView &leaseView, const std::string &self, TimePoint now, Duration leaseDuration);

/// Updates the view after the row was read.
void observeRow(LeaseView &leaseView, const std::optional<LeaseRow> &row, TimePoint now);

/// Updates the view after our write of @p row succeeded. The lease runs from @p sentAt, the time when the write was sent,
/// not from its response.
void recordWrite(LeaseView &leaseView, const LeaseRow &row, TimePoint sentAt, Duration leaseDuration);

/// True if orders may be sent: the lease is held and does not expire within @p margin.
bool isHeld(const LeaseView &leaseView, TimePoint now, Duration margin);

} // namespace cardamomlift::fleet
