#pragma once

#include "rollout/rollouttypes.h"
#include "rollout/verdictrules.h"

#include <optional>
#include <span>
#include <string>

namespace cardamomlift::rollout {

/// What the next step of a rollout is decided by.
struct PlanInput {
    const Order *order = nullptr; ///< The newest; null: it was withdrawn.
    const Record *record = nullptr; ///< The newest; null: there is none.
    bool isRecordLost = false; ///< The store was restored and lacks it, or has an earlier one.
    Verdict verdict;
    Duration storeNow{0};
    std::uint64_t openAtOtherVersions = 0; ///< Requests that all VMs have open at servers of other versions.
    std::span<const std::string> versions; ///< Of the servers that are known.
};

/// The record to write now; empty if nothing changes. A trial lasts as long as the order allows: what turns bad late is seen
/// then, and a version that was not shown good by the end is rolled back, for sending it all would break the bound on
/// exposure if it is bad.
std::optional<Record> nextRecord(const PlanInput &input);

/// By the store's clock: until when requests may end at servers of the other versions, which stop then.
Duration otherVersionsStopAt(const Record &record);

} // namespace cardamomlift::rollout
