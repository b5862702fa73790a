#pragma once

#include "http1/http1types.h"
#include "kernel/clock.h"
#include "rows/rowtypes.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cardamomlift::presence {

/// What a customer's callers ask of one entry VM.
struct CustomerDemand {
    std::uint64_t customer = 0; ///< nameHash() of the customer.
    double perSecond = 0; ///< In the unit of its allowance.
    double admittedTotal = 0; ///< All that was let through since the process began.
};

/// Requests of a customer that began to run in a window of time, sent by one entry VM.
struct UsageCount {
    std::int64_t window = 0;
    std::uint64_t customer = 0;
    std::uint32_t count = 0;
};

/// What one entry VM's requests to a backend server came to; see outliers::OutcomeCounts.
struct ServerOutcomes {
    std::uint64_t server = 0; ///< nameHash() of the instance.
    double answered = 0;
    double failed = 0;
    int failedInARow = 0;
    Duration sinceFailure{0}; ///< Since the last one in a row.
    std::optional<Duration> sinceAnswer; ///< Since the last answer; empty if there was none.
};

/// What one entry VM's callers ask of a service.
struct ServiceLoad {
    std::uint64_t service = 0; ///< nameHash() of the service.
    double promptTokensPerSecond = 0;
    std::uint32_t open = 0; ///< Requests that are being answered.
    double latencyRatio = 0; ///< Time to the first byte over the route's goal, averaged over the last answers.
    double answersPerSecond = 0;
};

/// A request with a prefix of a prompt went to a backend server.
struct PrefixUse {
    std::uint64_t prefix = 0; ///< Hash of the prefix, the same on all VMs.
    std::uint64_t server = 0; ///< nameHash() of the instance.
};

/// Work that one entry VM has sent to a backend server.
struct ServerWork {
    std::uint64_t server = 0; ///< nameHash() of the instance.
    std::int64_t waitingTokens = 0; ///< Of prompts whose answers have not begun.
};

/// What a backend server has said of a limit on its requests, as one entry VM heard it.
struct ServerLimit {
    std::uint64_t server = 0; ///< nameHash() of the instance.
    bool isLimited = false; ///< False: it has named no limit in its newest answer.
    double perSecond = 0; ///< Requests of all VMs together.
    Duration age{0}; ///< Since it was heard.
};

/// What one entry VM's requests on one route came to at servers of one kind, since the order of a rollout.
struct RolloutCounts {
    std::uint64_t route = 0; ///< nameHash() of the route.
    std::uint64_t server = 0; ///< nameHash() of the instance on trial; 0: all servers of other versions together.
    std::uint32_t failed = 0;
    std::vector<std::uint32_t> answered; ///< By class of the time to the first byte.
};

/// What one entry VM knows of a rollout that is not over.
struct RolloutReport {
    std::uint64_t service = 0; ///< nameHash() of the service.
    rows::StoreVersion order; ///< Which rollout.
    std::vector<RolloutCounts> counts;
    std::uint32_t openAtOthers = 0; ///< Its requests that are open at servers of other versions.
};

/// What one entry VM tells the others: its own state, or the sums of its group.
struct Status {
    std::string instance;
    std::uint64_t incarnation = 0; ///< Of its process: another one after a restart.
    std::uint64_t sequence = 0;
    Duration uptime{0}; ///< Since its process began.
    std::map<std::string, rows::TableDelta> tables; ///< What it knows of the store's tables.
    std::uint64_t manifestVersion = 0; ///< Of the manifest in force there; 0: none.
    std::optional<Duration> sinceStoreOutage; ///< Time since the store was away for it; empty if it was not lately.
    std::optional<Duration> clockOffset; ///< Its time of day less the store's clock.
    std::vector<CustomerDemand> demands;
    std::vector<UsageCount> usage;
    std::vector<ServerOutcomes> outcomes;
    std::vector<ServiceLoad> services;
    std::vector<PrefixUse> prefixes; ///< Of the last seconds.
    std::vector<ServerWork> serverWork; ///< Servers where work waits.
    std::vector<ServerLimit> limits; ///< Servers that have named a limit, or ended one.
    std::vector<std::uint64_t> suspects; ///< Hashes of requests that crash servers.
    std::vector<RolloutReport> rollouts; ///< Those that are not over.
    bool holdsLease = false;
    bool isStoreUnavailable = false; ///< Its calls for the lease fail: it is not the one to take it.
    bool isStoreReader = false; ///< It follows the store for others, and tells them of it in each round.
    bool isDraining = false;
    bool isPartial = false; ///< Holds only tables and sinceStoreOutage; the rest is as the sender told it last.
    bool requestsSummary = false; ///< The receiver shall answer with the summary of its group.
    std::string summaryOf; ///< The group whose sums these are; empty: of one VM.
    std::uint64_t membersHash = 0; ///< Of a summary: the processes it sums up, as one hash.
    std::string leaseHolder; ///< Of a summary: the VM of the group that holds the duty lease, if one does.
};

/// Another entry VM, or another group of them.
struct Peer {
    http1::Endpoint endpoint; ///< Of a VM.
    std::string zone;
    std::string group; ///< See groupOf().
    std::uint64_t incarnation = 0; ///< As its row says.
    TimePoint listedAt; ///< When its row was seen first, or anew.
    std::optional<TimePoint> heardAt;
    std::optional<Status> status; ///< The newest.
};

/// The same on all VMs and builds.
std::uint64_t nameHash(std::string_view name);

} // namespace cardamomlift::presence
