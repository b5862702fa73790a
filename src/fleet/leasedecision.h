#pragma once

#include "kernel/clock.h"

#include <cstdint>
#include <optional>
#include <string>

namespace cardamomlift::fleet {

/// The lease as its row in the table says.
struct LeaseRow {
    std::string holder;
    std::uint64_t fence = 0; ///< Rises with each new holder; goes with each order.
    std::string nonce; ///< New with each renewal.
};

/// What one VM knows of the lease. Times are of its own clock: VMs' clocks need not agree.
struct LeaseKnowledge {
    std::optional<LeaseRow> seen; ///< The row as last read.
    TimePoint seenSince; ///< When this nonce was first seen here.
    std::uint64_t heldFence = 0; ///< Of our own lease; 0: not the holder.
    TimePoint heldUntil; ///< Our lease ends here unless renewed.
};

/// What a VM does about the lease.
enum class LeaseAction {
    Wait, ///< Another VM renews it.
    Take, ///< Write ourselves as the holder, if the row is still as seen.
    Renew,
};

/// What to do at @p now. A row that stays the same for a whole lease is dead.
LeaseAction decideLease(const LeaseKnowledge &knowledge, const std::string &self, TimePoint now, Duration lease);

/// Takes over a reading of the row.
void noteRow(LeaseKnowledge &knowledge, const std::optional<LeaseRow> &row, TimePoint now);

/// Our write of @p row, sent at @p sentAt, took effect. The lease counts from the sending, not from the answer.
void noteWritten(LeaseKnowledge &knowledge, const LeaseRow &row, TimePoint sentAt, Duration lease);

/// True if orders may be given: held, and not within @p margin of its end.
bool isHeld(const LeaseKnowledge &knowledge, TimePoint now, Duration margin);

} // namespace cardamomlift::fleet
