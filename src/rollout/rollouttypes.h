#pragma once

#include "kernel/clock.h"
#include "rows/rowtypes.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cardamomlift::rollout {

/// An operator's order to move a service's traffic to backend servers of another software version.
struct Order {
    std::string service;
    std::string toVersion;
    Duration timeLimit{0}; ///< From the order on; the version is accepted or rolled back within it.
    rows::StoreVersion id; ///< Version of its row in the store: later orders have higher ones.
};

/// How far a rollout has come. It goes forward only.
enum class Phase {
    Trial, ///< The new version gets a bounded part of the requests.
    Moving, ///< It was found good: all new requests go to it, and the other servers end what they run.
    Succeeded, ///< The other servers stop.
    RolledBack, ///< It gets nothing any more.
};

/// The state of a service's newest rollout, as it stands in the store. Only the holder of the duty lease writes it.
struct Record {
    rows::StoreVersion orderId; ///< Order::id
    std::string service;
    std::string toVersion;
    Phase phase = Phase::Trial;
    Duration startedAt{0}; ///< By the store's clock.
    Duration endsAt{0}; ///< By the store's clock: the time limit of the order.
    Duration phaseStartedAt{0}; ///< By the store's clock: when the phase began.
    std::vector<std::string> excluded; ///< Versions that get nothing: rolled back, or replaced.
    rows::StoreVersion rowVersion; ///< Of its row; number 0: not in the store yet.
};

/// What all VMs together may send to a version that is not proved, and how soon that must end.
struct RolloutLimits {
    bool isEnabled = false;
    double exposureShare = 0.1; ///< Of all requests to the service from the order to its time limit.
    double exposureSlack = 0; ///< Requests beyond the share.
    Duration rollbackWithin = std::chrono::seconds(5); ///< From the fiftieth bad answer to the last send.
};

/// What the platform is told of a rollout.
enum class ReportedState { Running, Succeeded, RolledBack };

/// Whether @p record is of @p order or a later one. An order that was written again after the store was restored has a later
/// id than the record that it began.
bool coversOrder(const Record &record, const Order &order);
/// Whether @p record, as the store holds it now, goes back behind what was known: the store was restored from an older copy.
bool isBehind(const Record &record, const Record &known);

std::string_view phaseName(Phase phase);
ReportedState reportedState(Phase phase);
/// Whether nothing follows this phase but another order.
bool isOver(Phase phase);

/// The row's value; JSON.
std::string encodeRecord(const Record &record);
/// Fails on what is no record.
bool decodeRecord(std::string_view text, Record &record);

} // namespace cardamomlift::rollout
