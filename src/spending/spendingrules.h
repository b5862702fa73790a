#pragma once

#include "contract/contracttypes.h"
#include "kernel/clock.h"
#include "spending/spendingtypes.h"

#include <optional>

namespace cardamomlift::spending {

/// The UTC day of @p now.
std::int64_t dayOf(WallTime now);
/// Time from @p now to the next UTC day.
Duration untilNextDay(WallTime now);

Micros boundOf(const contract::Spending &spending);
/// The price of tokens and of calls, rounded up.
Micros tokenCost(const contract::Spending &spending, std::int64_t tokens);
Micros callCost(const contract::Spending &spending, std::int64_t calls);

/// How much to take from the table: for half an hour of this VM's spending, so that writes stay few and an outage of the
/// table is survived, but never so much that other VMs starve, and less and less towards the bound. 0: the bound leaves
/// no room for the need, or without a need too little to be worth a write.
Micros chunkToTake(const ChunkQuestion &question);

table::Key keyOf(const AccountKey &account);
table::Item toTableItem(const AccountKey &account, const AllotmentItem &allotment);
/// Empty if an attribute is missing or is no number.
std::optional<AllotmentItem> fromTableItem(const table::Item &item);

/// Puts @p holder in place; the VMs that hold nothing are forgotten first when there are too many. Forgetting is safe:
/// a VM that finds itself forgotten assumes the worse of the two for a write in doubt.
void setHolder(AllotmentItem &allotment, const std::string &instance, Holder holder);

} // namespace cardamomlift::spending
