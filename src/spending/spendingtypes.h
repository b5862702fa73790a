#pragma once

#include "table/tabletypes.h"

#include <cstdint>
#include <map>
#include <string>

namespace cardamomlift::spending {

/// Money in millionths of the currency. Integers only: sums must be exact.
using Micros = std::int64_t;

/// One customer on one UTC day: what a spending bound is about.
struct AccountKey {
    std::string customer;
    std::int64_t day = 0; ///< Whole days since 1970-01-01 UTC.
    // NOLINTNEXTLINE(modernize-use-nullptr): a false finding on a defaulted comparison.
    auto operator<=>(const AccountKey &) const = default;
};

/// What the table knows of one entry VM that took money.
struct Holder {
    std::string nonce; ///< Of its newest write in effect: settles a write whose answer was lost.
    bool mayHold = false; ///< False once it gave all back.
};

/// The item of one account in the table: the only authority on how much of the day's bound is given out.
struct AllotmentItem {
    std::uint64_t version = 0; ///< 0: no item yet.
    Micros allotted = 0; ///< Given out to VMs and not given back: spent, reserved, held or lost with its VM.
    std::uint64_t boundVersion = 0; ///< Newest contract version that any VM has seen here.
    Micros bound = 0; ///< The bound of that version.
    std::map<std::string, Holder> holders; ///< By instance.
};

/// What a VM weighs when it takes money ahead of need.
struct ChunkQuestion {
    Micros bound = 0;
    Micros allotted = 0;
    Micros need = 0; ///< Of the requests that wait, less what is held.
    Micros perSecond = 0; ///< Recent spending of this customer on this VM.
    std::int64_t holders = 0; ///< VMs that have taken money of this account.
};

/// Money set aside for one request, at its worst case.
struct Reservation {
    AccountKey account;
    Micros micros = 0;
};

/// What became of a reservation.
enum class ReserveOutcome {
    Reserved,
    BoundReached, ///< The day's bound leaves no room for the worst case of this request.
    TableDown, ///< What this VM holds does not suffice, and the table can't be asked.
};

} // namespace cardamomlift::spending
