#pragma once

#include "rollout/rollouttypes.h"
#include "rollout/verdictrules.h"

#include <optional>
#include <span>
#include <string>

namespace cardamomlift::rollout {

/// Input for the decision on the next step of a rollout.
struct PlanInput {
    const Order *order = nullptr; ///< The newest; null: there is none, or it was withdrawn.
    const Record *record = nullptr; ///< The newest; null: there is none.
    bool isRecordLost = false; ///< The store was restored from a copy that lacks the record or has an earlier one.
    Verdict verdict;
    Duration storeNow{0};
    std::uint64_t openAtOtherVersions = 0; ///< Open requests of all VMs at servers of other versions.
    std::span<const std::string> versions; ///< Software versions of the service's known servers.
};

/// The record to write now; empty if nothing changes. A trial lasts as long as the order's time limit allows, so that a
/// version that turns bad late is detected. A version that is not shown to be good by then is rolled back: sending it all
/// requests would exceed the exposure limit if it is bad.
std::optional<Record> nextRecord(const PlanInput &input);

/// When servers of other versions stop, by the store's clock. Requests that are open there may finish until then.
Duration otherVersionsStopAt(const Record &record);

} // namespace cardamomlift::rollout
