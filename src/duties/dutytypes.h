#pragma once

#include "kernel/clock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace cardamomlift::duties {

/// The usage of one time window, as it was or will be reported. Never changed once it is stored in the lease row.
struct UsageReport {
    std::int64_t window = 0;
    std::map<std::string, std::uint64_t> counts; ///< Number of requests, by customer name.
};

/// The number of servers of one kind that a service should have in a failure domain.
struct ServerOrder {
    std::string service;
    std::string zone;
    bool isReclaimable = false;
    int wanted = 0;
};

/// The outcome of a call that the leader made to the platform.
enum class LeaderCallOutcome {
    Done,
    Refused, ///< No servers of this kind are available in the failure domain now.
    Failed, ///< Rate limit, platform unavailable, or no response: the call may have taken effect.
};

using LeaderCallHandler = std::function<void(LeaderCallOutcome outcome)>;

/// Calls to the platform that only the leader makes. @p fence is a fencing token, which rises with each holder of the lease.
class LeaderApi
{
public:
    virtual ~LeaderApi() = default;
    virtual void reportUsage(std::uint64_t fence, const UsageReport &report, LeaderCallHandler handler) = 0;
    virtual void orderServers(std::uint64_t fence, const ServerOrder &order, LeaderCallHandler handler) = 0;
};

/// The leader lease as stored in the platform's store.
struct LeaseRow {
    std::string holder; ///< Instance of the VM.
    std::uint64_t incarnation = 0; ///< Of the holder's process.
    std::uint64_t fence = 0; ///< Fencing token; rises with each holder.
    std::uint64_t era = 0; ///< Of the store when the row was written. If the store is in a later era, the row is from a restored copy.
    bool lacksReports = false; ///< The row was taken over from a restored copy: reports made after the copy may be missing.
    bool isReleased = false; ///< The holder shut down cleanly and makes no more calls.
    std::int64_t reportedWindow = 0; ///< Windows up to this one were reported or are in reports.
    std::int64_t arrivedWindow = 0; ///< Windows up to this one are known to have reached the platform.
    std::vector<UsageReport> reports; ///< The latest, oldest first. One that may not have arrived is sent again unchanged.
};

std::string encodeLease(const LeaseRow &row);
/// Fails if @p text lacks a valid holder, incarnation or fence: the fence must never decrease.
bool decodeLease(std::string_view text, LeaseRow &row);

} // namespace cardamomlift::duties
