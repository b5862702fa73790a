#pragma once

#include "http1/http1types.h"
#include "kernel/clock.h"
#include "pace/pacetypes.h"
#include "rows/rowtypes.h"
#include "suspects/suspecttypes.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cardamomlift::presence {

/// Demand of a customer at one entry VM.
struct CustomerDemand {
    std::uint64_t customer = 0; ///< nameHash() of the customer.
    double perSecond = 0; ///< Requested rate, in the unit of the customer's allowance.
    double admittedTotal = 0; ///< Amount admitted since the process started, in the same unit.
};

/// Number of requests of a customer that one entry VM has sent and that started to run within a window of time.
struct UsageCount {
    std::int64_t window = 0; ///< Number of the window.
    std::uint64_t customer = 0;
    std::uint32_t count = 0;
};

/// Outcomes of one entry VM's requests to a backend server; see outliers::OutcomeCounts.
struct ServerOutcomes {
    std::uint64_t server = 0; ///< nameHash() of the instance.
    double answered = 0;
    double failed = 0;
    int failedInARow = 0; ///< Consecutive failures up to now.
    Duration sinceFailure{0}; ///< Time since the last of the consecutive failures.
    std::optional<Duration> sinceAnswer; ///< Time since the last answer; empty if there was none.
};

/// Load of a service at one entry VM.
struct ServiceLoad {
    std::uint64_t service = 0; ///< nameHash() of the service.
    double promptTokensPerSecond = 0;
    std::uint32_t open = 0; ///< Requests in progress.
    double latencyRatio = 0; ///< Time to the first byte divided by the route's goal, averaged over the last answers.
    double answersPerSecond = 0;
    double requestsPerSecond = 0;
};

/// A request whose prompt starts with a prefix was sent to a backend server.
struct PrefixUse {
    std::uint64_t prefix = 0; ///< Hash of the prefix, the same on all VMs.
    std::uint64_t server = 0; ///< nameHash() of the instance.
};

/// Unfinished work that one entry VM has sent to a backend server.
struct ServerWork {
    std::uint64_t server = 0; ///< nameHash() of the instance.
    std::int64_t waitingTokens = 0; ///< Prompt tokens of requests whose answers have not started.
};

/// The rate limit that a backend server has announced in an answer to one entry VM.
struct ServerLimit {
    std::uint64_t server = 0; ///< nameHash() of the instance.
    bool isLimited = false; ///< False if its newest answer announced no limit.
    double perSecond = 0; ///< Requests a second, of all VMs together.
    Duration age{0}; ///< Time since the announcement was received.
};

/// How long work took at a backend server, as one entry VM has observed it.
struct ServerPace {
    std::uint32_t server = 0; ///< shortHash() of the instance.
    std::uint32_t service = 0; ///< shortHash() of the service.
    pace::WorkSums work;
    std::optional<double> announced; ///< What the server has announced last: 1 as usual, 2 twice as long.
    Duration announcedAge{0};
};

/// The times to the first byte of a service's answers at one entry VM.
struct ServiceFirstByte {
    std::uint32_t service = 0; ///< shortHash() of the service.
    pace::FirstByteSums sums;
};

/// Requests for a service at one entry VM, of one customer and priority.
struct ClassDemand {
    std::uint64_t service = 0; ///< nameHash() of the service.
    std::uint64_t customer = 0; ///< nameHash() of the customer; 0: none.
    int priority = 0;
    double perSecond = 0; ///< Asked for.
    double admittedPerSecond = 0;
    double servedPerSecond = 0; ///< Ended, without those that servers refused.
    double refusedPerSecond = 0; ///< By servers, for want of room.
    std::uint32_t waiting = 0; ///< For admission; counted in ServiceLoad::open.
};

/// Outcomes of one entry VM's requests on one route since a rollout was ordered, at one server or group of servers.
struct RolloutCounts {
    std::uint64_t route = 0; ///< nameHash() of the route.
    std::uint64_t server = 0; ///< nameHash() of the instance on trial; 0: all servers of other versions together.
    std::uint32_t failed = 0;
    std::vector<std::uint32_t> answered; ///< Histogram of the time to the first byte.
};

/// One entry VM's report on a rollout in progress.
struct RolloutReport {
    std::uint64_t service = 0; ///< nameHash() of the service.
    rows::StoreVersion order; ///< Version of the order, which identifies the rollout.
    std::vector<RolloutCounts> counts;
    std::uint32_t openAtOthers = 0; ///< This VM's open requests at servers of other versions.
};

/// The state that one entry VM sends to the others: its own, or the summary of its group.
struct Status {
    std::string instance;
    std::uint64_t incarnation = 0; ///< Identifies its process; changes with a restart.
    std::uint64_t sequence = 0; ///< Increases with each status of the process.
    Duration uptime{0}; ///< Time since its process started.
    std::map<std::string, rows::TableDelta> tables; ///< Its version of each of the store's tables, and recent changes.
    std::uint64_t manifestVersion = 0; ///< Of the manifest in force there; 0: none.
    std::optional<Duration> sinceStoreOutage; ///< Time since the store was last unavailable for it; empty if not recently.
    std::optional<Duration> clockOffset; ///< Its wall-clock time minus the store's clock.
    std::vector<CustomerDemand> demands;
    std::vector<UsageCount> usage;
    std::vector<ServerOutcomes> outcomes;
    std::vector<ServiceLoad> services;
    std::vector<PrefixUse> prefixes; ///< Used in the last seconds.
    std::vector<ServerWork> serverWork; ///< Only servers with waiting work.
    std::vector<ServerPace> paces;
    std::vector<ServiceFirstByte> firstBytes;
    std::vector<ClassDemand> classDemands; ///< Only of services that are short of room.
    std::vector<ServerLimit> limits; ///< Only servers that have announced a limit, or the end of one.
    suspects::CrashUpdate crashUpdate; ///< Recent crashes of servers, and requests that are blocked as their cause.
    std::vector<RolloutReport> rollouts; ///< Rollouts in progress.
    bool holdsLease = false; ///< It holds the leader lease.
    bool isStoreUnavailable = false; ///< Its calls to the store for the lease fail, so it can't take the lease.
    bool isStoreReader = false; ///< It polls the store on behalf of other VMs, and sends them its table versions in each round.
    bool isDraining = false;
    std::optional<Duration> loopLag; ///< How late its event loop runs; empty: not known. In a summary: the mean.
    bool lacksServerRoom = false; ///< It has just refused requests as servers' limits left it no room. In a summary: all VMs of the group have.
    bool reachesNoServer = false; ///< It is cut off from the backend servers. In a summary: all VMs of the group are.
    std::optional<Duration> sinceServerContact; ///< Time since it last heard from a backend server. In a summary: the shortest.
    bool isPartial = false; ///< Only the frequently sent fields are set; the others are unchanged since the last full status.
    bool requestsSummary = false; ///< The receiver shall answer with the summary of its group.
    std::string summaryOf; ///< The group that this summarizes; empty: the status of a single VM.
    std::uint64_t membersHash = 0; ///< Only in a summary: hash of the set of processes that it covers.
    std::string leaseHolder; ///< Only in a summary: the VM of the group that holds the leader lease, if one does.
};

/// Another entry VM, or another group of entry VMs.
struct Peer {
    http1::Endpoint endpoint; ///< Only of a VM.
    std::string zone;
    std::string group; ///< See groupOf().
    std::uint64_t incarnation = 0; ///< Of the VM's current process, from its row.
    TimePoint listedAt; ///< When its row was last read; of a group: when it became known.
    std::optional<TimePoint> heardAt; ///< When its last status was received.
    std::optional<Status> status; ///< The newest one received.
};

/// A hash of @p name that is the same on all VMs and builds.
std::uint64_t nameHash(std::string_view name);
/// The lower half of nameHash(), for what is told of many servers and where mistaking one name for another does little harm.
std::uint32_t shortHash(std::string_view name);

} // namespace cardamomlift::presence
