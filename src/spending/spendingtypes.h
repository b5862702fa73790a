#pragma once

#include "table/tabletypes.h"

#include <cstdint>
#include <map>
#include <string>

namespace cardamomlift::spending {

/// Money in millionths of the currency. Integers only: sums must be exact.
using Micros = std::int64_t;

/// One customer on one UTC day: what a daily spending bound applies to.
struct AccountKey {
    std::string customer;
    std::int64_t day = 0; ///< Whole days since 1970-01-01 UTC.
    // NOLINTNEXTLINE(modernize-use-nullptr): a false finding on a defaulted comparison.
    auto operator<=>(const AccountKey &) const = default;
};

/// The table's record of one entry VM that has taken money.
struct Holder {
    std::string nonce; ///< Of its latest write in effect: shows whether a write whose answer was lost took effect.
    bool mayHold = false; ///< False once it has returned everything.
};

/// The item of one account in the table: the only authority on how much of the daily bound is allotted.
struct AllotmentItem {
    std::uint64_t version = 0; ///< 0: no item yet.
    Micros allotted = 0; ///< Taken by VMs and not returned: spent, reserved, held, or lost with a VM.
    std::uint64_t boundVersion = 0; ///< Newest contract version known to any VM that wrote this item.
    Micros bound = 0; ///< The bound of that version.
    std::map<std::string, Holder> holders; ///< By instance.
};

/// The inputs to the decision how much money a VM takes from the table.
struct ChunkInputs {
    Micros bound = 0;
    Micros allotted = 0;
    Micros need = 0; ///< Of the waiting requests, less what is held. 0: the money is taken ahead of need.
    Micros perSecond = 0; ///< Recent spending of this customer on this VM.
    std::int64_t holders = 0; ///< VMs that have taken money of this account.
};

/// Money reserved for one request: the most that the request can cost.
struct Reservation {
    AccountKey account;
    Micros micros = 0;
};

/// The outcome of an attempt to reserve money.
enum class ReserveOutcome {
    Reserved,
    BoundReached, ///< The daily bound leaves no room for the most that this request can cost.
    TableDown, ///< What this VM holds does not suffice, and the table is unavailable.
};

} // namespace cardamomlift::spending
