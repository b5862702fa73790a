#pragma once

#include "kernel/clock.h"
#include "rows/rowtypes.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cardamomlift::rollout {

/// An operator's order to move a service's traffic to backend servers of another software version, the target version.
struct Order {
    std::string service;
    std::string toVersion;
    Duration timeLimit{0}; ///< Counted from the order; the target version must be accepted or rolled back within it.
    rows::StoreVersion id; ///< Version of its row in the store; increases from order to order.
};

/// The phase of a rollout. A rollout never returns to an earlier phase.
enum class Phase {
    Trial, ///< Canary phase: the target version gets a bounded share of the requests.
    Moving, ///< The target version was accepted: it gets all new requests, and servers of other versions finish their open ones.
    Succeeded, ///< Servers of other versions may stop.
    RolledBack, ///< The target version gets no more requests.
};

/// The stored state of a service's newest rollout. Only the holder of the leader lease writes it.
struct Record {
    rows::StoreVersion orderId; ///< Order::id of the order that is being carried out.
    std::string service;
    std::string toVersion;
    Phase phase = Phase::Trial;
    Duration startedAt{0}; ///< By the store's clock.
    Duration endsAt{0}; ///< By the store's clock: when the time limit of the order expires.
    Duration phaseStartedAt{0}; ///< By the store's clock.
    std::vector<std::string> excluded; ///< Versions that get no requests because they were rolled back or replaced.
    rows::StoreVersion rowVersion; ///< Version of the record's row; number 0: not in the store yet.
};

/// Limits on the exposure to a version on trial. They apply to the sum over all entry VMs.
struct RolloutLimits {
    bool isEnabled = false;
    double exposureShare = 0.1; ///< Maximum share of all requests to the service, from the order to its time limit.
    double exposureSlack = 0; ///< Number of requests in addition to the share.
    Duration rollbackWithin = std::chrono::seconds(5); ///< From the fiftieth bad answer to the last request to the version.
};

/// The state of a rollout as reported to the platform.
enum class ReportedState { Running, Succeeded, RolledBack };

/// Whether @p record belongs to @p order or to a later one. If an order is written again after the store was restored, its id
/// is higher than the one in the record that it started; such a record still counts as belonging to it.
bool coversOrder(const Record &record, const Order &order);
/// Whether @p record, read from the store, is an earlier state than @p known. This happens when the store was restored from an
/// older copy.
bool isBehind(const Record &record, const Record &known);

std::string_view phaseName(Phase phase);
ReportedState reportedState(Phase phase);
/// Whether the phase is final: only a new order starts another rollout.
bool isOver(Phase phase);

/// Encodes a record as JSON, the value of its row.
std::string encodeRecord(const Record &record);
/// Returns false if @p text is not a valid record.
bool decodeRecord(std::string_view text, Record &record);

} // namespace cardamomlift::rollout
