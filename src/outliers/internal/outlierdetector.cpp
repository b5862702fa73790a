#include "outliers/outlierdetector.h"

#include "outliers/outlierrules.h"

#include <algorithm>

namespace cardamomlift::outliers {

namespace {

using eventlog::Attribute;
using eventlog::Event;

/// Maximum number of servers in one status, those with the most failures. A datagram has room for them, and a failure domain has
/// fewer servers than this.
constexpr std::size_t MaxSharedServers = 32;
/// Older outcomes no longer affect any decision.
constexpr Duration Retention = std::chrono::seconds(20);
/// A VM assumes that the fault is its own when more than this fraction of the servers that it used recently gave no answer, if
/// these are at least LocalFaultMinServers.
constexpr double LocalFaultFraction = 0.5;
constexpr int LocalFaultMinServers = 3;
constexpr Duration RecentUse = std::chrono::seconds(3);

bool isRecent(const std::optional<TimePoint> &at, Duration age, TimePoint now)
{
    return at && now - *at <= age;
}

} // namespace

OutlierDetector::OutlierDetector(EventLoop &loop, std::shared_ptr<eventlog::EventLog> log)
    : loop_(loop)
    , log_(std::move(log))
{
}

std::shared_ptr<OutlierDetector> OutlierDetector::create(EventLoop &loop, std::shared_ptr<eventlog::EventLog> log)
{
    return std::shared_ptr<OutlierDetector>(new OutlierDetector(loop, std::move(log)));
}

void OutlierDetector::note(const std::string &instance, const std::string &service, Ending ending)
{
    Entry &entry = servers_[presence::nameHash(instance)];
    entry.instance = instance;
    entry.service = service;
    outliers::note(entry.outcomes, ending, loop_.now());
    outliers::note(services_[service], ending, loop_.now());
}

void OutlierDetector::forgetFailures()
{
    for (auto &[server, entry] : servers_) {
        outliers::forgetFailures(entry.outcomes);
    }
    for (auto &[service, outcomes] : services_) {
        outliers::forgetFailures(outcomes);
    }
}

void OutlierDetector::setCutOffCheck(std::function<bool()> mayBeCutOff)
{
    mayBeCutOff_ = std::move(mayBeCutOff);
}

std::optional<OutcomeCounts> OutlierDetector::combinedOutcomes(std::uint64_t server) const
{
    const auto own = servers_.find(server);
    const auto others = peerOutcomes_.find(server);
    if (own == servers_.end() && others == peerOutcomes_.end()) {
        return std::nullopt;
    }
    const OutcomeCounts ownOutcomes = own == servers_.end() ? OutcomeCounts() : own->second.outcomes;
    if (others == peerOutcomes_.end()) {
        return ownOutcomes;
    }
    std::vector<OutcomeCounts> peers;
    peers.reserve(others->second.size());
    for (const auto &[vm, outcomes] : others->second) {
        peers.push_back(outcomes);
    }
    return combine(ownOutcomes, peers, loop_.now());
}

bool OutlierDetector::isOutlier(std::uint64_t server, const std::string &service) const
{
    const auto outcomes = combinedOutcomes(server);
    if (!outcomes) {
        return false;
    }
    const TimePoint now = loop_.now();
    const auto serviceOutcomes = services_.find(service);
    return outliers::isOutlier(*outcomes, serviceOutcomes == services_.end() ? 0 : baselineFailureRate(decayedTo(serviceOutcomes->second, now)), now);
}

std::vector<presence::ServerOutcomes> OutlierDetector::outcomesToShare() const
{
    if (mayBeCutOff_ && mayBeCutOff_()) {
        return {};
    }
    const TimePoint now = loop_.now();
    std::vector<presence::ServerOutcomes> shared;
    int used = 0;
    int silent = 0;
    for (const auto &[server, entry] : servers_) {
        const bool isSilent = entry.outcomes.consecutiveFailures > 0 && isRecent(entry.outcomes.lastFailedAt, RecentUse, now);
        used += isSilent || isRecent(entry.outcomes.lastAnsweredAt, RecentUse, now) ? 1 : 0;
        silent += isSilent ? 1 : 0;
        // A server reported by a peer is shared even without failures here: without the answers that this VM has had, it would
        // look worse than it is to the other VMs.
        const bool isReportedByPeer = peerOutcomes_.contains(server);
        if (!isReportedByPeer && !isWorthSharing(entry.outcomes, now)) {
            continue;
        }
        const OutcomeCounts current = decayedTo(entry.outcomes, now);
        shared.push_back({server,
            current.answered,
            current.failed,
            current.consecutiveFailures,
            current.consecutiveFailures > 0 ? now - current.lastFailedAt.value_or(now) : Duration(0),
            current.lastAnsweredAt ? std::optional(now - *current.lastAnsweredAt) : std::nullopt});
    }
    if (used >= LocalFaultMinServers && silent > LocalFaultFraction * used) {
        return {};
    }
    std::sort(shared.begin(), shared.end(), [](const auto &a, const auto &b) { return a.failed > b.failed; });
    shared.resize(std::min(shared.size(), MaxSharedServers));
    return shared;
}

void OutlierDetector::applyPeerOutcomes(const std::string &vm, std::span<const presence::ServerOutcomes> servers)
{
    const TimePoint now = loop_.now();
    dropPeerOutcomes(vm);
    for (const presence::ServerOutcomes &server : servers) {
        OutcomeCounts outcomes;
        outcomes.answered = server.answered;
        outcomes.failed = server.failed;
        outcomes.updatedAt = now;
        outcomes.consecutiveFailures = server.failedInARow;
        if (server.failedInARow > 0) {
            outcomes.lastFailedAt = now - server.sinceFailure;
        }
        if (server.sinceAnswer) {
            outcomes.lastAnsweredAt = now - *server.sinceAnswer;
        }
        peerOutcomes_[server.server][vm] = outcomes;
        serversByPeer_[vm].push_back(server.server);
    }
}

void OutlierDetector::dropPeerOutcomes(const std::string &vm)
{
    const auto servers = serversByPeer_.find(vm);
    if (servers == serversByPeer_.end()) {
        return;
    }
    for (const std::uint64_t server : servers->second) {
        const auto found = peerOutcomes_.find(server);
        found->second.erase(vm);
        if (found->second.empty()) {
            peerOutcomes_.erase(found);
        }
    }
    serversByPeer_.erase(servers);
}

void OutlierDetector::logChange(std::uint64_t server, const Entry &entry, bool isOutlierNow)
{
    const OutcomeCounts all = combinedOutcomes(server).value_or(OutcomeCounts());
    const auto age = all.lastFailedAt ? std::chrono::duration_cast<std::chrono::milliseconds>(loop_.now() - *all.lastFailedAt).count() : -1;
    log_->write(isOutlierNow ? Event::ServerAvoided : Event::ServerTrusted,
        {{Attribute::Server, entry.instance},
            {Attribute::Service, entry.service},
            {Attribute::Answered, static_cast<std::int64_t>(all.answered)},
            {Attribute::Failed, static_cast<std::int64_t>(all.failed)},
            {Attribute::InARow, std::int64_t(all.consecutiveFailures)},
            {Attribute::AgeMs, std::int64_t(age)}});
}

void OutlierDetector::tick()
{
    const TimePoint now = loop_.now();
    for (auto it = servers_.begin(); it != servers_.end();) {
        Entry &entry = it->second;
        const bool isOutlierNow = isOutlier(it->first, entry.service);
        if (isOutlierNow != entry.wasOutlier) {
            entry.wasOutlier = isOutlierNow;
            logChange(it->first, entry, isOutlierNow);
        }
        const bool isOld = !isOutlierNow && !isRecent(entry.outcomes.lastFailedAt, Retention, now) && !isRecent(entry.outcomes.lastAnsweredAt, Retention, now);
        it = isOld ? servers_.erase(it) : std::next(it);
    }
}

} // namespace cardamomlift::outliers
