#include "presence/statussummary.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace cardamomlift::presence {

namespace {

/// Servers in a summary, those where most work waits and most requests failed: two kilobytes of each datagram between zones.
constexpr std::size_t MostServers = 64;
/// Limits of servers in a summary, the newest: each comes again as long as some VM gets answers that name it.
constexpr std::size_t MostLimits = 64;
/// Prefixes in a summary. A group of 24 VMs with five requests a second each uses some 100 new ones between two summaries.
constexpr std::size_t MostPrefixes = 96;

/// A member that was silent for longer has likely ended: what others wait for, as the duty lease, is not said of it.
constexpr Duration StandingWithin = std::chrono::milliseconds(1500);

void addDemands(std::map<std::uint64_t, CustomerDemand> &sums, const Status &status)
{
    for (const CustomerDemand &demand : status.demands) {
        CustomerDemand &sum = sums[demand.customer];
        sum.customer = demand.customer;
        sum.perSecond += demand.perSecond;
        sum.admittedTotal += demand.admittedTotal;
    }
}

void addLoads(std::map<std::uint64_t, ServiceLoad> &sums, const Status &status)
{
    for (const ServiceLoad &load : status.services) {
        ServiceLoad &sum = sums[load.service];
        sum.service = load.service;
        sum.promptTokensPerSecond += load.promptTokensPerSecond;
        sum.open += load.open;
        const double answers = sum.answersPerSecond + load.answersPerSecond;
        if (answers > 0) {
            sum.latencyRatio = (sum.latencyRatio * sum.answersPerSecond + load.latencyRatio * load.answersPerSecond) / answers;
        }
        sum.answersPerSecond = answers;
    }
}

std::optional<Duration> shorter(std::optional<Duration> a, std::optional<Duration> b)
{
    if (!a || !b) {
        return a ? a : b;
    }
    return std::min(*a, *b);
}

/// What several VMs have seen of one server, with the times as of now.
struct ServerViews {
    ServerOutcomes sum;
    std::vector<std::pair<int, Duration>> failures; ///< In a row at one VM, and the time since the last.
};

void addOutcomes(std::map<std::uint64_t, ServerViews> &views, const MemberStatus &member)
{
    for (const ServerOutcomes &outcomes : member.status->outcomes) {
        ServerViews &view = views[outcomes.server];
        view.sum.server = outcomes.server;
        view.sum.answered += outcomes.answered;
        view.sum.failed += outcomes.failed;
        if (outcomes.sinceAnswer) {
            view.sum.sinceAnswer = shorter(view.sum.sinceAnswer, *outcomes.sinceAnswer + member.age);
        }
        if (outcomes.failedInARow > 0) {
            view.failures.emplace_back(outcomes.failedInARow, outcomes.sinceFailure + member.age);
        }
    }
}

// Failures in a row count where no VM of the group has had an answer since.
ServerOutcomes together(const ServerViews &view)
{
    ServerOutcomes sum = view.sum;
    std::optional<Duration> since;
    for (const auto &[inARow, sinceFailure] : view.failures) {
        if (!sum.sinceAnswer || sinceFailure < *sum.sinceAnswer) {
            sum.failedInARow += inARow;
            since = shorter(since, sinceFailure);
        }
    }
    sum.sinceFailure = since.value_or(Duration(0));
    return sum;
}

template<typename Entry, typename Rank>
void keepLargest(std::vector<Entry> &entries, std::size_t most, Rank rank)
{
    std::sort(entries.begin(), entries.end(), [&rank](const Entry &a, const Entry &b) { return rank(a) > rank(b); });
    entries.resize(std::min(entries.size(), most));
}

// The newest word on each server.
void addLimits(std::map<std::uint64_t, ServerLimit> &newest, const MemberStatus &member)
{
    for (ServerLimit limit : member.status->limits) {
        limit.age += member.age;
        const auto [place, isNew] = newest.try_emplace(limit.server, limit);
        if (!isNew && limit.age < place->second.age) {
            place->second = limit;
        }
    }
}

// The group's part in questions of one VM for all: the lease, and who follows the store.
void addStanding(Status &summary, const MemberStatus &member)
{
    if (member.age > StandingWithin) {
        return;
    }
    const Status &status = *member.status;
    summary.isStoreReader = summary.isStoreReader || status.isStoreReader;
    if (status.holdsLease) {
        summary.holdsLease = true;
        summary.leaseHolder = status.instance;
    }
    if (!status.isDraining && !status.isStoreUnavailable) {
        summary.isStoreUnavailable = false;
        summary.isDraining = false;
        summary.uptime = std::max(summary.uptime, status.uptime + member.age);
    }
}

template<typename Entry>
void takeValues(std::vector<Entry> &values, const std::map<std::uint64_t, Entry> &entries)
{
    for (const auto &[key, entry] : entries) {
        values.push_back(entry);
    }
}

} // namespace

Status summarize(std::string group, std::span<const MemberStatus> members)
{
    Status summary;
    summary.summaryOf = std::move(group);
    summary.isStoreUnavailable = true;
    summary.isDraining = true;
    std::map<std::uint64_t, CustomerDemand> demands;
    std::map<std::uint64_t, ServiceLoad> loads;
    std::map<std::uint64_t, ServerViews> views;
    std::map<std::uint64_t, ServerWork> works;
    std::map<std::uint64_t, ServerLimit> limits;
    std::set<std::pair<std::uint64_t, std::uint64_t>> prefixes;
    std::set<std::uint64_t> suspects;
    for (const MemberStatus &member : members) {
        const Status &status = *member.status;
        summary.membersHash ^= nameHash(status.instance + std::to_string(status.incarnation));
        addStanding(summary, member);
        addDemands(demands, status);
        addLoads(loads, status);
        addOutcomes(views, member);
        addLimits(limits, member);
        for (const ServerWork &work : status.serverWork) {
            works[work.server].server = work.server;
            works[work.server].waitingTokens += work.waitingTokens;
        }
        for (const PrefixUse &use : status.prefixes) {
            prefixes.emplace(use.prefix, use.server);
        }
        suspects.insert(status.suspects.begin(), status.suspects.end());
    }
    takeValues(summary.demands, demands);
    takeValues(summary.services, loads);
    takeValues(summary.serverWork, works);
    keepLargest(summary.serverWork, MostServers, [](const ServerWork &work) { return work.waitingTokens; });
    takeValues(summary.limits, limits);
    keepLargest(summary.limits, MostLimits, [](const ServerLimit &limit) { return -limit.age; });
    for (const auto &[server, view] : views) {
        summary.outcomes.push_back(together(view));
    }
    keepLargest(summary.outcomes, MostServers, [](const ServerOutcomes &outcomes) { return outcomes.failed; });
    for (const auto &[prefix, server] : prefixes) {
        if (summary.prefixes.size() < MostPrefixes) {
            summary.prefixes.push_back({prefix, server});
        }
    }
    summary.suspects.assign(suspects.begin(), suspects.end());
    return summary;
}

} // namespace cardamomlift::presence
