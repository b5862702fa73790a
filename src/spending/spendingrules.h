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

/// How much to take from the table: enough for half an hour of this VM's spending, so that writes are rare and an outage of
/// the table can be bridged, but only a small share of what is left, so that other VMs are not starved. The chunks shrink
/// towards the bound. 0: the bound leaves no room for the need, or, without a need, too little for a write to pay off.
Micros chunkSize(const ChunkInputs &inputs);

table::Key itemKey(const AccountKey &account);
table::Item toTableItem(const AccountKey &account, const AllotmentItem &allotment);
/// Empty if an attribute is missing or is not a number.
std::optional<AllotmentItem> fromTableItem(const table::Item &item);

/// Sets the entry of @p instance. When there are too many holders, the entries of VMs that hold nothing are removed first.
/// That is safe: a VM whose entry is missing assumes the worse of the two outcomes for a write in doubt.
void setHolder(AllotmentItem &allotment, const std::string &instance, Holder holder);

} // namespace cardamomlift::spending
