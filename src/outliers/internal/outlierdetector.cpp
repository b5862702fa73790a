#include "outliers/outlierdetector.h"

#include "outliers/outlierrules.h"

#include <algorithm>

namespace cardamomlift::outliers {

namespace {

using eventlog::Attribute;
using eventlog::Event;

/// Servers in one status: a datagram has room for the worst ones, and a domain's servers are fewer.
constexpr std::size_t MostTold = 32;
/// What was seen longer ago than this decides nothing any more.
constexpr Duration Memory = std::chrono::seconds(20);
/// A VM is in doubt about itself when this part of the servers that it used lately gave no answer, of at least so many.
constexpr double OwnFaultPart = 0.5;
constexpr int OwnFaultServers = 3;
constexpr Duration LatelyUsed = std::chrono::seconds(3);

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

std::optional<OutcomeCounts> OutlierDetector::known(std::uint64_t server) const
{
    const auto own = servers_.find(server);
    const auto others = told_.find(server);
    if (own == servers_.end() && others == told_.end()) {
        return std::nullopt;
    }
    const OutcomeCounts mine = own == servers_.end() ? OutcomeCounts() : own->second.outcomes;
    if (others == told_.end()) {
        return mine;
    }
    std::vector<OutcomeCounts> theirs;
    theirs.reserve(others->second.size());
    for (const auto &[vm, outcomes] : others->second) {
        theirs.push_back(outcomes);
    }
    return together(mine, theirs, loop_.now());
}

bool OutlierDetector::isOutlier(std::uint64_t server, const std::string &service) const
{
    const auto outcomes = known(server);
    if (!outcomes) {
        return false;
    }
    const TimePoint now = loop_.now();
    const auto usual = services_.find(service);
    return outliers::isOutlier(*outcomes, usual == services_.end() ? 0 : usualFailures(asOf(usual->second, now)), now);
}

std::vector<presence::ServerOutcomes> OutlierDetector::told() const
{
    const TimePoint now = loop_.now();
    std::vector<presence::ServerOutcomes> told;
    int used = 0;
    int silent = 0;
    for (const auto &[server, entry] : servers_) {
        const bool isSilent = entry.outcomes.failedInARow > 0 && isRecent(entry.outcomes.lastFailedAt, LatelyUsed, now);
        used += isSilent || isRecent(entry.outcomes.lastAnsweredAt, LatelyUsed, now) ? 1 : 0;
        silent += isSilent ? 1 : 0;
        // Answers count as much as failures: without them a server would look worse than it is to the VMs that hear of it.
        const bool isDoubted = told_.contains(server);
        if (!isDoubted && !isWorthTelling(entry.outcomes, now)) {
            continue;
        }
        const OutcomeCounts current = asOf(entry.outcomes, now);
        told.push_back({server,
            current.answered,
            current.failed,
            current.failedInARow,
            current.failedInARow > 0 ? now - current.lastFailedAt.value_or(now) : Duration(0),
            current.lastAnsweredAt ? std::optional(now - *current.lastAnsweredAt) : std::nullopt});
    }
    if (used >= OwnFaultServers && silent > OwnFaultPart * used) {
        return {};
    }
    std::sort(told.begin(), told.end(), [](const auto &a, const auto &b) { return a.failed > b.failed; });
    told.resize(std::min(told.size(), MostTold));
    return told;
}

void OutlierDetector::takeTold(const std::string &vm, std::span<const presence::ServerOutcomes> servers)
{
    const TimePoint now = loop_.now();
    dropTold(vm);
    for (const presence::ServerOutcomes &server : servers) {
        OutcomeCounts outcomes;
        outcomes.answered = server.answered;
        outcomes.failed = server.failed;
        outcomes.updatedAt = now;
        outcomes.failedInARow = server.failedInARow;
        if (server.failedInARow > 0) {
            outcomes.lastFailedAt = now - server.sinceFailure;
        }
        if (server.sinceAnswer) {
            outcomes.lastAnsweredAt = now - *server.sinceAnswer;
        }
        told_[server.server][vm] = outcomes;
        toldBy_[vm].push_back(server.server);
    }
}

void OutlierDetector::dropTold(const std::string &vm)
{
    const auto last = toldBy_.find(vm);
    if (last == toldBy_.end()) {
        return;
    }
    for (const std::uint64_t server : last->second) {
        const auto place = told_.find(server);
        place->second.erase(vm);
        if (place->second.empty()) {
            told_.erase(place);
        }
    }
    toldBy_.erase(last);
}

void OutlierDetector::logChange(std::uint64_t server, const Entry &entry, bool isNow)
{
    const OutcomeCounts all = known(server).value_or(OutcomeCounts());
    const auto age = all.lastFailedAt ? std::chrono::duration_cast<std::chrono::milliseconds>(loop_.now() - *all.lastFailedAt).count() : -1;
    log_->write(isNow ? Event::ServerAvoided : Event::ServerTrusted,
        {{Attribute::Server, entry.instance},
            {Attribute::Service, entry.service},
            {Attribute::Answered, static_cast<std::int64_t>(all.answered)},
            {Attribute::Failed, static_cast<std::int64_t>(all.failed)},
            {Attribute::InARow, std::int64_t(all.failedInARow)},
            {Attribute::AgeMs, std::int64_t(age)}});
}

void OutlierDetector::tick()
{
    const TimePoint now = loop_.now();
    for (auto place = servers_.begin(); place != servers_.end();) {
        Entry &entry = place->second;
        const bool isNow = isOutlier(place->first, entry.service);
        if (isNow != entry.wasOutlier) {
            entry.wasOutlier = isNow;
            logChange(place->first, entry, isNow);
        }
        const bool isOld = !isNow && !isRecent(entry.outcomes.lastFailedAt, Memory, now) && !isRecent(entry.outcomes.lastAnsweredAt, Memory, now);
        place = isOld ? servers_.erase(place) : std::next(place);
    }
}

} // namespace cardamomlift::outliers
