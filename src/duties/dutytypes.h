#pragma once

#include "kernel/clock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace cardamomlift::duties {

/// The usage of one window, as it was or will be reported. Never changed once it stands in the lease's row.
struct UsageReport {
    std::int64_t window = 0;
    std::map<std::string, std::uint64_t> counts; ///< Requests by customer's name.
};

/// How many servers of one kind a service shall have in a failure domain.
struct ServerOrder {
    std::string service;
    std::string zone;
    bool isReclaimable = false;
    int wanted = 0;
};

/// What became of a call to the platform.
enum class LeaderCallOutcome {
    Done,
    Refused, ///< Nothing of the kind is to be had there now.
    Failed, ///< Over the rate, away, or no answer: it may have been done.
};

using LeaderCallHandler = std::function<void(LeaderCallOutcome outcome)>;

/// Calls that one VM at a time makes to the platform. @p fence rises with each holder.
class LeaderApi
{
public:
    virtual ~LeaderApi() = default;
    virtual void reportUsage(std::uint64_t fence, const UsageReport &report, LeaderCallHandler handler) = 0;
    virtual void orderServers(std::uint64_t fence, const ServerOrder &order, LeaderCallHandler handler) = 0;
};

/// The lease on all duties, as it lies in the platform's store.
struct LeaseRow {
    std::string holder; ///< Instance of the VM.
    std::uint64_t incarnation = 0; ///< Of its process.
    std::uint64_t fence = 0; ///< Rises with each holder.
    std::uint64_t era = 0; ///< Of the store when it was written: in a later one the row is that of an older copy.
    bool lacksReports = false; ///< It goes back to an older copy: reports that were made since may be missing.
    bool isReleased = false; ///< The holder has ended in order; it makes no more calls.
    std::int64_t reportedWindow = 0; ///< Windows up to this one were reported or are in reports.
    std::int64_t arrivedWindow = 0; ///< Windows up to this one are known to have arrived.
    std::vector<UsageReport> reports; ///< The newest, oldest first; one that may not have arrived is sent again as it is.
};

std::string encodeLease(const LeaseRow &row);
/// Fails on what is no lease: the fence must never fall back.
bool decodeLease(std::string_view text, LeaseRow &row);

} // namespace cardamomlift::duties
