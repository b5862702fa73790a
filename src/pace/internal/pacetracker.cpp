#include "pace/pacetracker.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <string_view>

namespace cardamomlift::pace {

namespace {

using eventlog::Attribute;
using eventlog::Event;

/// Bounds on what is kept. More are passed over until older ones are gone.
constexpr std::size_t MaxServers = 4096;
constexpr std::size_t MaxServices = 64;
constexpr std::size_t MaxPeers = 512;
/// More servers of one status are passed over.
constexpr std::size_t MaxServersOfPeer = 48;

/// Maximum number of servers in one status, some 11 bytes each.
constexpr std::size_t MaxSharedServers = 20;
/// Of these, the servers that are farthest off the mean. The others have the most observations, from which other VMs learn the mean.
constexpr std::size_t MaxSharedDeviating = 10;
constexpr Duration SharedWithin = std::chrono::seconds(2);
/// Fewer units are not worth their bytes.
constexpr double MinSharedUnits = 0.5;
constexpr double MinSharedFirstBytes = 1;
constexpr std::size_t MaxSharedServices = 4;

/// An estimate is computed anew when it is older; up to 128 are asked for at each request.
constexpr Duration LearntPeriod = std::chrono::milliseconds(100);
/// What a peer has said is dropped when it has been silent for this long.
constexpr Duration PeerRetention = std::chrono::seconds(3);
constexpr Duration ServiceRetention = std::chrono::seconds(30);
constexpr Duration AnnouncementRetention = std::chrono::seconds(1);
/// A server is forgotten when less than this is left of its observations.
constexpr double MinKeptUnits = 0.1;
/// A longer time between two ticks, as after a suspension, counts as this.
constexpr Duration MaxTickGap = std::chrono::seconds(1);
constexpr std::size_t MaxLogLinesPerTick = 8;
constexpr double Percent = 100;

std::uint32_t shortKey(std::uint64_t hash)
{
    return static_cast<std::uint32_t>(hash);
}

std::int64_t toPercent(double factor)
{
    return std::lround(factor * Percent);
}

std::string_view sideName(PaceSide side)
{
    constexpr std::array<std::string_view, 3> Names{"usual", "slower", "faster"};
    return Names[static_cast<std::size_t>(side)];
}

template<typename Sums>
Sums decayed(Sums sums, Duration age)
{
    decay(sums, age);
    return sums;
}

} // namespace

PaceTracker::PaceTracker(EventLoop &loop, std::shared_ptr<eventlog::EventLog> log)
    : loop_(loop)
    , log_(std::move(log))
    , tickedAt_(loop.now())
{
}

std::shared_ptr<PaceTracker> PaceTracker::create(EventLoop &loop, std::shared_ptr<eventlog::EventLog> log)
{
    return std::shared_ptr<PaceTracker>(new PaceTracker(loop, std::move(log)));
}

PaceTracker::Server *PaceTracker::serverOf(std::uint32_t key)
{
    const auto found = servers_.find(key);
    if (found != servers_.end()) {
        return &found->second;
    }
    return servers_.size() < MaxServers ? &servers_[key] : nullptr;
}

PaceTracker::Service *PaceTracker::serviceOf(std::uint32_t key)
{
    auto found = services_.find(key);
    if (found == services_.end()) {
        if (services_.size() >= MaxServices) {
            return nullptr;
        }
        found = services_.try_emplace(key).first;
    }
    found->second.seenAt = loop_.now();
    return &found->second;
}

PaceTracker::Service *PaceTracker::usedService(const std::string &name)
{
    Service *service = serviceOf(presence::shortHash(name));
    if (service && service->name.empty()) {
        service->name = name;
    }
    return service;
}

void PaceTracker::noteAnnounced(const std::string &instance, double factor)
{
    const auto bounded = boundedAnnouncement(factor);
    Server *server = bounded ? serverOf(presence::shortHash(instance)) : nullptr;
    if (!server) {
        return;
    }
    server->instance = instance;
    server->announced = server->announcedHere = Announcement{*bounded, loop_.now()};
}

void PaceTracker::noteEvents(const std::string &instance, const std::string &service, std::size_t events, Duration time)
{
    noteWork(instance, service, static_cast<double>(events), time);
}

void PaceTracker::noteAnswer(const std::string &instance, const std::string &service, Duration time)
{
    noteWork(instance, service, 1, time);
}

void PaceTracker::noteWork(const std::string &instance, const std::string &service, double units, Duration time)
{
    Server *server = serverOf(presence::shortHash(instance));
    const Service *used = usedService(service);
    if (!server || !used) {
        return;
    }
    const TimePoint now = loop_.now();
    if (server->instance.empty()) {
        server->instance = instance;
    }
    server->service = presence::shortHash(service);
    decay(server->work, now - server->workAt);
    server->workAt = now;
    const auto &announced = server->announced;
    note(server->work, units, time, used->meanTime, announced ? std::optional(announced->factor) : std::nullopt, announced ? now - announced->at : Duration(0));
}

void PaceTracker::noteFirstByte(const std::string &service, std::int64_t prefillTokens, Duration time)
{
    Service *used = usedService(service);
    if (!used) {
        return;
    }
    const TimePoint now = loop_.now();
    decay(used->firstBytes, now - used->firstBytesAt);
    used->firstBytesAt = now;
    note(used->firstBytes, prefillTokens, time);
}

WorkSums PaceTracker::combined(const Server &server, bool withGroups) const
{
    const TimePoint now = loop_.now();
    WorkSums sum = decayed(server.work, now - server.workAt);
    for (const PeerWork &entry : server.peers) {
        if (withGroups || !entry.isGroup) {
            add(sum, decayed(entry.work, now - entry.at));
        }
    }
    return sum;
}

const LearntPace &PaceTracker::learntOf(const Server &server) const
{
    const TimePoint now = loop_.now();
    if (server.learntAt && now - *server.learntAt < LearntPeriod) {
        return server.learnt;
    }
    server.learntAt = now;
    const auto service = services_.find(server.service);
    server.learnt = service == services_.end() ? LearntPace() : learntPace(combined(server, true), server.steady, service->second.meanTime);
    return server.learnt;
}

PaceEstimate PaceTracker::estimateOf(const Server &server) const
{
    const auto &announced = server.announced;
    return estimate(learntOf(server), announced ? std::optional(announced->factor) : std::nullopt, announced ? loop_.now() - announced->at : Duration(0));
}

PaceEstimate PaceTracker::paceOf(std::uint64_t server, const std::string & /*service*/) const
{
    const auto found = servers_.find(shortKey(server));
    return found == servers_.end() ? PaceEstimate() : estimateOf(found->second);
}

std::optional<FirstByteModel> PaceTracker::firstByteModel(const std::string &service) const
{
    const auto found = services_.find(presence::shortHash(service));
    return found == services_.end() ? std::nullopt : found->second.firstByteModel;
}

PaceCounts PaceTracker::counts() const
{
    return counts_;
}

std::vector<presence::ServerPace> PaceTracker::pacesToShare() const
{
    /// A server with its distance from the mean.
    struct Ranked {
        presence::ServerPace pace;
        double deviation = 0;
    };
    const TimePoint now = loop_.now();
    std::vector<Ranked> ranked;
    for (const auto &[key, server] : servers_) {
        const bool isObserved = now - server.workAt <= SharedWithin;
        if (server.service == 0 || !isObserved) {
            continue;
        }
        Ranked entry{{key, server.service, decayed(server.work, now - server.workAt), std::nullopt, Duration(0)}, 0};
        if (server.announcedHere && now - server.announcedHere->at <= AnnouncementRetention) {
            entry.pace.announced = server.announcedHere->factor;
            entry.pace.announcedAge = now - server.announcedHere->at;
        }
        if (entry.pace.work.units < MinSharedUnits && !entry.pace.announced) {
            continue;
        }
        entry.deviation = deviation(learntOf(server), entry.pace.announced, entry.pace.announcedAge);
        ranked.push_back(entry);
    }
    std::sort(ranked.begin(), ranked.end(), [](const Ranked &a, const Ranked &b) { return a.deviation > b.deviation; });
    const auto others = ranked.begin() + static_cast<std::ptrdiff_t>(std::min(ranked.size(), MaxSharedDeviating));
    std::sort(others, ranked.end(), [](const Ranked &a, const Ranked &b) { return a.pace.work.units > b.pace.work.units; });
    ranked.resize(std::min(ranked.size(), MaxSharedServers));
    std::vector<presence::ServerPace> shared;
    shared.reserve(ranked.size());
    for (const Ranked &entry : ranked) {
        shared.push_back(entry.pace);
    }
    return shared;
}

std::vector<presence::ServiceFirstByte> PaceTracker::firstBytesToShare() const
{
    const TimePoint now = loop_.now();
    std::vector<presence::ServiceFirstByte> shared;
    for (const auto &[key, service] : services_) {
        const FirstByteSums sums = decayed(service.firstBytes, now - service.firstBytesAt);
        if (sums.count >= MinSharedFirstBytes && shared.size() < MaxSharedServices) {
            shared.push_back({key, sums});
        }
    }
    return shared;
}

void PaceTracker::applyPeer(const presence::Status &status)
{
    const std::uint64_t key = presence::nameHash(status.instance);
    if (!peers_.contains(key) && peers_.size() >= MaxPeers) {
        return;
    }
    dropServersOf(key);
    Peer &peer = peers_[key];
    peer.heardAt = loop_.now();
    const bool isGroup = !status.summaryOf.empty();
    for (const presence::ServerPace &pace : status.paces) {
        if (peer.servers.size() >= MaxServersOfPeer) {
            break;
        }
        if (pace.service != 0 && isPlausible(pace.work) && serviceOf(pace.service) && serverOf(pace.server)) {
            applyServer(key, isGroup, pace);
            peer.servers.push_back(pace.server);
        }
    }
    peer.firstBytes.clear();
    for (const presence::ServiceFirstByte &service : status.firstBytes) {
        if (peer.firstBytes.size() < MaxServices && isPlausible(service.sums) && serviceOf(service.service)) {
            peer.firstBytes[service.service] = service.sums;
        }
    }
}

void PaceTracker::applyServer(std::uint64_t peer, bool isGroup, const presence::ServerPace &pace)
{
    const TimePoint now = loop_.now();
    Server &server = servers_[pace.server];
    if (server.service == 0) {
        server.service = pace.service;
    }
    server.peers.push_back({peer, isGroup, pace.work, now});
    const auto announced = pace.announced ? boundedAnnouncement(*pace.announced) : std::nullopt;
    const TimePoint announcedAt = now - std::clamp(pace.announcedAge, Duration(0), AnnouncementRetention);
    if (announced && (!server.announced || server.announced->at < announcedAt)) {
        server.announced = Announcement{*announced, announcedAt};
    }
}

void PaceTracker::dropServersOf(std::uint64_t peer)
{
    const auto found = peers_.find(peer);
    if (found == peers_.end()) {
        return;
    }
    for (const std::uint32_t key : found->second.servers) {
        if (const auto server = servers_.find(key); server != servers_.end()) {
            std::erase_if(server->second.peers, [peer](const PeerWork &entry) { return entry.peer == peer; });
        }
    }
    found->second.servers.clear();
}

void PaceTracker::tick()
{
    dropOld();
    updateMeans();
    updateSteady();
    updateFirstByteModels();
    updateSides();
}

// Groups tell only of servers that are off the mean, so they would distort it.
void PaceTracker::updateMeans()
{
    std::unordered_map<std::uint32_t, std::vector<WorkSums>> byService;
    for (const auto &[key, server] : servers_) {
        if (server.service != 0) {
            byService[server.service].push_back(combined(server, false));
        }
    }
    for (auto &[key, service] : services_) {
        const auto servers = byService.find(key);
        service.meanTime = servers == byService.end() ? 0 : meanTime(servers->second);
    }
}

void PaceTracker::updateSteady()
{
    const Duration elapsed = std::min(loop_.now() - tickedAt_, MaxTickGap);
    tickedAt_ = loop_.now();
    for (auto &[key, server] : servers_) {
        if (const auto service = services_.find(server.service); service != services_.end()) {
            addSteady(server.steady, combined(server, true), service->second.meanTime, elapsed);
        }
    }
}

void PaceTracker::updateFirstByteModels()
{
    const TimePoint now = loop_.now();
    for (auto &[key, service] : services_) {
        FirstByteSums sum = decayed(service.firstBytes, now - service.firstBytesAt);
        for (const auto &[peerKey, peer] : peers_) {
            if (const auto told = peer.firstBytes.find(key); told != peer.firstBytes.end()) {
                add(sum, decayed(told->second, now - peer.heardAt));
            }
        }
        service.firstByteModel = pace::firstByteModel(sum);
    }
}

void PaceTracker::updateSides()
{
    counts_ = {};
    std::size_t lines = 0;
    for (auto &[key, server] : servers_) {
        const PaceSide side = sideOf(learntOf(server).factor, server.side);
        counts_.slower += side == PaceSide::Slower ? 1 : 0;
        counts_.faster += side == PaceSide::Faster ? 1 : 0;
        const bool isWorthLine = side != server.side && !server.instance.empty() && lines < MaxLogLinesPerTick;
        if (isWorthLine) {
            lines++;
            logSide(server, side);
        }
        // A change that has found no room in the log is tried again.
        if (isWorthLine || server.instance.empty()) {
            server.side = side;
        }
    }
}

void PaceTracker::logSide(const Server &server, PaceSide side) const
{
    const auto service = services_.find(server.service);
    if (!log_ || service == services_.end()) {
        return;
    }
    const PaceEstimate pace = estimateOf(server);
    log_->write(Event::ServerPace,
        {{Attribute::Server, server.instance},
            {Attribute::Service, service->second.name},
            {Attribute::Outcome, sideName(side)},
            {Attribute::PacePercent, toPercent(pace.factor)},
            {Attribute::LearntPercent, toPercent(learntOf(server).factor)},
            {Attribute::AnnouncedPercent, pace.announced ? toPercent(*pace.announced) : -1},
            {Attribute::AnnouncedAgeMs, pace.announced ? toMilliseconds(pace.announcedAge) : -1}});
}

void PaceTracker::dropOld()
{
    const TimePoint now = loop_.now();
    for (auto it = peers_.begin(); it != peers_.end();) {
        const bool isSilent = now - it->second.heardAt > PeerRetention;
        if (isSilent) {
            dropServersOf(it->first);
        }
        it = isSilent ? peers_.erase(it) : std::next(it);
    }
    std::erase_if(servers_, [this](const auto &entry) { return isOld(entry.second); });
    std::erase_if(services_, [now](const auto &entry) { return now - entry.second.seenAt > ServiceRetention; });
}

bool PaceTracker::isOld(const Server &server) const
{
    const TimePoint now = loop_.now();
    return server.peers.empty() && server.steady.units < MinKeptUnits && decayed(server.work, now - server.workAt).units < MinKeptUnits
        && (!server.announced || now - server.announced->at > AnnouncementRetention);
}

} // namespace cardamomlift::pace
