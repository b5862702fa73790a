#include "presence/statussummary.h"

#include "pace/pacerules.h"

#include <algorithm>
#include <map>
#include <set>
#include <tuple>
#include <utility>

namespace cardamomlift::presence {

namespace {

/// Maximum number of servers in a summary: those with the most waiting work, and those with the most failed requests. They take
/// about two kilobytes of each datagram between zones.
constexpr std::size_t MaxServers = 64;
/// Maximum number of server limits in a summary, the newest ones. A limit that is left out is reported again as long as some VM
/// gets answers that name it.
constexpr std::size_t MaxLimits = 64;
/// Maximum number of customers and priorities in a summary, those that ask for most.
constexpr std::size_t MaxClassDemands = 32;
/// Maximum number of servers whose pace is in a summary, some 11 bytes each: those that are farthest off the mean of their service.
/// There are about as many groups as members of one, so it has fewer where it goes to many groups.
constexpr std::size_t MaxPaces = 24;
constexpr std::size_t MaxPacesTimesMembers = 264;
/// Servers closer to the mean are left out.
constexpr double MinPaceDeviation = 0.1;
/// Maximum number of prefixes in a summary. A group of 24 VMs with five requests a second each uses about 100 new ones between
/// two summaries.
constexpr std::size_t MaxPrefixes = 96;
/// Bounds on the crashes of servers and suspected requests in a summary, the newest ones. They keep it within a datagram when very
/// many servers fail at once.
constexpr std::size_t MaxCrashReports = 64;
constexpr std::size_t MaxInFlightRequests = 512;
constexpr std::size_t MaxPartsInFlight = 1024;
constexpr std::size_t MaxBlockedRequests = 32;
constexpr std::size_t MaxAnsweredParts = 256;
constexpr std::size_t MaxClearedRequests = 128;

/// A member from which nothing was received for longer has probably stopped. Its leader lease and its store state are left out
/// of the summary, so that other VMs do not wait for it.
constexpr Duration MemberAliveWithin = std::chrono::milliseconds(1500);

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
        sum.requestsPerSecond += load.requestsPerSecond;
        const double answers = sum.answersPerSecond + load.answersPerSecond;
        if (answers > 0) {
            sum.latencyRatio = (sum.latencyRatio * sum.answersPerSecond + load.latencyRatio * load.answersPerSecond) / answers;
        }
        sum.answersPerSecond = answers;
    }
}

using ClassDemandKey = std::tuple<std::uint64_t, int, std::uint64_t>; // Service, priority, customer.

void addClassDemands(std::map<ClassDemandKey, ClassDemand> &sums, const Status &status)
{
    for (const ClassDemand &demand : status.classDemands) {
        ClassDemand &sum = sums[{demand.service, demand.priority, demand.customer}];
        sum.service = demand.service;
        sum.priority = demand.priority;
        sum.customer = demand.customer;
        sum.perSecond += demand.perSecond;
        sum.admittedPerSecond += demand.admittedPerSecond;
        sum.servedPerSecond += demand.servedPerSecond;
        sum.refusedPerSecond += demand.refusedPerSecond;
        sum.waiting += demand.waiting;
    }
}

std::optional<Duration> shorter(std::optional<Duration> a, std::optional<Duration> b)
{
    if (!a || !b) {
        return a ? a : b;
    }
    return std::min(*a, *b);
}

/// Outcomes of requests to one server at several VMs, with times relative to now.
struct CombinedOutcomes {
    ServerOutcomes sum;
    std::vector<std::pair<int, Duration>> failures; ///< By VM: failures in a row, and the time since the last one.
};

void addOutcomes(std::map<std::uint64_t, CombinedOutcomes> &combined, const MemberStatus &member)
{
    for (const ServerOutcomes &outcomes : member.status->outcomes) {
        CombinedOutcomes &view = combined[outcomes.server];
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

// The failures in a row of a VM count only if no VM of the group has had an answer from the server since the last of them.
ServerOutcomes sumOutcomes(const CombinedOutcomes &view)
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
void keepLargest(std::vector<Entry> &entries, std::size_t maxCount, Rank rank)
{
    std::sort(entries.begin(), entries.end(), [&rank](const Entry &a, const Entry &b) { return rank(a) > rank(b); });
    entries.resize(std::min(entries.size(), maxCount));
}

// Keeps the newest limit of each server.
void addLimits(std::map<std::uint64_t, ServerLimit> &newest, const MemberStatus &member)
{
    for (ServerLimit limit : member.status->limits) {
        limit.age += member.age;
        const auto [entry, isNew] = newest.try_emplace(limit.server, limit);
        if (!isNew && limit.age < entry->second.age) {
            entry->second = limit;
        }
    }
}

// A group can take requests of a VM that reaches no server if one of its members has heard from a server.
void addServerContact(Status &summary, const MemberStatus &member)
{
    if (member.age > MemberAliveWithin) {
        return;
    }
    const Status &status = *member.status;
    summary.reachesNoServer = summary.reachesNoServer && status.reachesNoServer;
    summary.lacksServerRoom = summary.lacksServerRoom && status.lacksServerRoom;
    if (status.sinceServerContact && !status.reachesNoServer) {
        summary.sinceServerContact = shorter(summary.sinceServerContact, *status.sinceServerContact + member.age);
    }
}

std::optional<Duration> meanLag(std::span<const MemberStatus> members)
{
    Duration sum{0};
    int count = 0;
    for (const MemberStatus &member : members) {
        if (member.age <= MemberAliveWithin && member.status->loopLag) {
            sum += *member.status->loopLag;
            count++;
        }
    }
    return count == 0 ? std::nullopt : std::optional(sum / count);
}

// Adds the state by which the leader lease and the store readers are chosen.
void addLeaseAndStoreState(Status &summary, const MemberStatus &member)
{
    if (member.age > MemberAliveWithin) {
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

// The same server may have crashed under requests of several members, and a request may be reported by several.
void addCrashReport(std::vector<suspects::CrashUpdate::CrashReport> &sum, suspects::CrashUpdate::CrashReport report)
{
    const auto known = std::find_if(sum.begin(), sum.end(), [&report](const auto &other) { return other.instance == report.instance; });
    if (known == sum.end()) {
        sum.push_back(std::move(report));
        return;
    }
    known->age = std::max(known->age, report.age);
    for (suspects::Progress &request : report.inFlight) {
        const bool isKnown = std::any_of(
            known->inFlight.begin(), known->inFlight.end(), [&request](const suspects::Progress &other) { return other.fingerprint == request.fingerprint; });
        if (!isKnown) {
            known->inFlight.push_back(std::move(request));
        }
    }
}

// Members report what they have seen in the last seconds.
void addCrashUpdate(suspects::CrashUpdate &sum, const MemberStatus &member)
{
    const suspects::CrashUpdate &update = member.status->crashUpdate;
    for (suspects::CrashUpdate::CrashReport report : update.crashes) {
        report.age += member.age;
        addCrashReport(sum.crashes, std::move(report));
    }
    for (suspects::CrashUpdate::AliveServer server : update.alive) {
        server.age += member.age;
        sum.alive.push_back(std::move(server));
    }
    sum.cleared.insert(sum.cleared.end(), update.cleared.begin(), update.cleared.end());
    sum.blocked.insert(sum.blocked.end(), update.blocked.begin(), update.blocked.end());
    sum.blockedParts.insert(sum.blockedParts.end(), update.blockedParts.begin(), update.blockedParts.end());
    for (suspects::CrashUpdate::AnsweredPart answered : update.answeredParts) {
        answered.age += member.age;
        sum.answeredParts.push_back(answered);
    }
    if (update.sincePromptAnswered) {
        sum.sincePromptAnswered = shorter(sum.sincePromptAnswered, *update.sincePromptAnswered + member.age);
    }
}

void limitInFlight(std::vector<suspects::CrashUpdate::CrashReport> &newestFirst)
{
    std::size_t left = MaxInFlightRequests;
    std::size_t partsLeft = MaxPartsInFlight;
    for (suspects::CrashUpdate::CrashReport &report : newestFirst) {
        report.inFlight.resize(std::min(report.inFlight.size(), left));
        left -= report.inFlight.size();
        for (suspects::Progress &request : report.inFlight) {
            request.parts.resize(std::min(request.parts.size(), partsLeft));
            partsLeft -= request.parts.size();
        }
    }
}

/// Sorts @p entries by @p key and keeps the first of those with the same key; @p key begins with what identifies an entry.
template<typename Entry, typename Key, typename Id>
void keepFirstOfEach(std::vector<Entry> &entries, Key key, Id id)
{
    std::sort(entries.begin(), entries.end(), [&key](const Entry &a, const Entry &b) { return key(a) < key(b); });
    entries.erase(std::unique(entries.begin(), entries.end(), [&id](const Entry &a, const Entry &b) { return id(a) == id(b); }), entries.end());
}

// The members share what they know of blocked requests and of parts, so several VMs tell most of it.
void limitCrashUpdate(suspects::CrashUpdate &sum)
{
    keepLargest(sum.crashes, MaxCrashReports, [](const auto &report) { return -report.age; });
    limitInFlight(sum.crashes);
    keepFirstOfEach(
        sum.blocked,
        [](const auto &request) { return std::pair(request.fingerprint, -request.remaining); },
        [](const auto &request) { return request.fingerprint; });
    keepLargest(sum.blocked, MaxBlockedRequests, [](const auto &request) { return request.remaining; });
    keepFirstOfEach(
        sum.blockedParts, [](const auto &part) { return std::pair(part.part, -part.remaining); }, [](const auto &part) { return part.part; });
    keepLargest(sum.blockedParts, MaxBlockedRequests, [](const auto &part) { return part.remaining; });
    keepFirstOfEach(
        sum.answeredParts, [](const auto &part) { return std::pair(part.part, part.age); }, [](const auto &part) { return part.part; });
    keepLargest(sum.answeredParts, MaxAnsweredParts, [](const auto &part) { return -part.age; });
    sum.cleared.resize(std::min(sum.cleared.size(), MaxClearedRequests));
    keepLargest(sum.alive, MaxCrashReports, [](const auto &server) { return -server.age; });
}

void addPaces(std::map<std::uint32_t, ServerPace> &sums, const MemberStatus &member)
{
    for (ServerPace pace : member.status->paces) {
        pace::decay(pace.work, member.age);
        pace.announcedAge += member.age;
        const auto [entry, isNew] = sums.try_emplace(pace.server, pace);
        if (isNew) {
            continue;
        }
        ServerPace &sum = entry->second;
        pace::add(sum.work, pace.work);
        if (pace.announced && (!sum.announced || pace.announcedAge < sum.announcedAge)) {
            sum.announced = pace.announced;
            sum.announcedAge = pace.announcedAge;
        }
    }
}

// The mean of a service is that of the group.
std::vector<ServerPace> deviatingPaces(const std::map<std::uint32_t, ServerPace> &sums, std::size_t members)
{
    std::map<std::uint32_t, std::vector<pace::WorkSums>> works;
    for (const auto &[server, pace] : sums) {
        works[pace.service].push_back(pace.work);
    }
    std::map<std::uint32_t, double> means;
    for (const auto &[service, servers] : works) {
        means[service] = pace::meanTime(servers);
    }
    /// A server with its distance from the mean.
    using Ranked = std::pair<double, const ServerPace *>;
    std::vector<Ranked> ranked;
    for (const auto &[server, pace] : sums) {
        const double deviation = pace::deviation(pace::learntPace(pace.work, {}, means[pace.service]), pace.announced, pace.announcedAge);
        if (deviation >= MinPaceDeviation) {
            ranked.emplace_back(deviation, &pace);
        }
    }
    keepLargest(ranked, std::min(MaxPaces, MaxPacesTimesMembers / std::max<std::size_t>(1, members)), [](const Ranked &entry) { return entry.first; });
    std::vector<ServerPace> deviating;
    deviating.reserve(ranked.size());
    for (const auto &[deviation, pace] : ranked) {
        deviating.push_back(*pace);
    }
    return deviating;
}

void addFirstBytes(std::map<std::uint32_t, ServiceFirstByte> &sums, const MemberStatus &member)
{
    for (ServiceFirstByte service : member.status->firstBytes) {
        pace::decay(service.sums, member.age);
        ServiceFirstByte &sum = sums[service.service];
        sum.service = service.service;
        pace::add(sum.sums, service.sums);
    }
}

template<typename Key, typename Entry>
void appendValues(std::vector<Entry> &values, const std::map<Key, Entry> &entries)
{
    for (const auto &[key, entry] : entries) {
        values.push_back(entry);
    }
}

/// Where there are too many uses, each summary begins with others of them: uses are repeated for several summaries.
void addPrefixes(Status &summary, const std::set<std::pair<std::uint64_t, std::uint64_t>> &uses, std::uint64_t turn)
{
    const std::size_t skipped = uses.size() > MaxPrefixes ? turn * MaxPrefixes % uses.size() : 0;
    auto use = std::next(uses.begin(), static_cast<std::ptrdiff_t>(skipped));
    for (std::size_t i = 0; i < std::min(uses.size(), MaxPrefixes); i++) {
        summary.prefixes.push_back({use->first, use->second});
        use++;
        use = use == uses.end() ? uses.begin() : use;
    }
}

} // namespace

Status summarize(std::string group, std::span<const MemberStatus> members)
{
    Status summary;
    summary.summaryOf = std::move(group);
    summary.isStoreUnavailable = true;
    summary.isDraining = true;
    summary.reachesNoServer = true;
    summary.lacksServerRoom = true;
    summary.loopLag = meanLag(members);
    std::map<std::uint64_t, CustomerDemand> demands;
    std::map<std::uint64_t, ServiceLoad> loads;
    std::map<ClassDemandKey, ClassDemand> classDemands;
    std::map<std::uint64_t, CombinedOutcomes> combined;
    std::map<std::uint64_t, ServerWork> serverWork;
    std::map<std::uint64_t, ServerLimit> limits;
    std::map<std::uint32_t, ServerPace> paces;
    std::map<std::uint32_t, ServiceFirstByte> firstBytes;
    std::set<std::pair<std::uint64_t, std::uint64_t>> prefixes;
    for (const MemberStatus &member : members) {
        const Status &status = *member.status;
        summary.membersHash ^= nameHash(status.instance + std::to_string(status.incarnation));
        addLeaseAndStoreState(summary, member);
        addServerContact(summary, member);
        addDemands(demands, status);
        addLoads(loads, status);
        addClassDemands(classDemands, status);
        addOutcomes(combined, member);
        addLimits(limits, member);
        addPaces(paces, member);
        addFirstBytes(firstBytes, member);
        for (const ServerWork &work : status.serverWork) {
            serverWork[work.server].server = work.server;
            serverWork[work.server].waitingTokens += work.waitingTokens;
        }
        for (const PrefixUse &use : status.prefixes) {
            prefixes.emplace(use.prefix, use.server);
        }
        addCrashUpdate(summary.crashUpdate, member);
    }
    appendValues(summary.demands, demands);
    appendValues(summary.services, loads);
    appendValues(summary.classDemands, classDemands);
    keepLargest(summary.classDemands, MaxClassDemands, [](const ClassDemand &demand) { return demand.perSecond; });
    appendValues(summary.serverWork, serverWork);
    keepLargest(summary.serverWork, MaxServers, [](const ServerWork &work) { return work.waitingTokens; });
    appendValues(summary.limits, limits);
    keepLargest(summary.limits, MaxLimits, [](const ServerLimit &limit) { return -limit.age; });
    summary.paces = deviatingPaces(paces, members.size());
    appendValues(summary.firstBytes, firstBytes);
    limitCrashUpdate(summary.crashUpdate);
    for (const auto &[server, view] : combined) {
        summary.outcomes.push_back(sumOutcomes(view));
    }
    keepLargest(summary.outcomes, MaxServers, [](const ServerOutcomes &outcomes) { return outcomes.failed; });
    addPrefixes(summary, prefixes, members.empty() ? 0 : members.front().status->sequence);
    return summary;
}

} // namespace cardamomlift::presence
