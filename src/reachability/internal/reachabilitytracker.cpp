#include "reachability/reachabilitytracker.h"

#include "reachability/reachabilityrules.h"

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

namespace cardamomlift::reachability {

namespace {

using eventlog::Attribute;
using eventlog::Event;

/// A server that accepts no connection within this time counts as failed.
constexpr Duration ProbeTimeout = std::chrono::milliseconds(400);
constexpr std::size_t ProbesInDoubt = 3;
/// Doubt that was refuted by a probe does not cause further probes for this long.
constexpr Duration ProbePause = std::chrono::seconds(1);
/// If no server has sent anything for this long, a single failure is a reason for probes.
constexpr Duration QuietTime = std::chrono::milliseconds(300);
/// While other servers send, this many must fail in succession.
constexpr std::size_t FailuresToProbe = 2;
/// Failures no longer count when no other has followed within this time.
constexpr Duration DoubtLifetime = std::chrono::seconds(3);
/// For the log: other VMs that have heard from a server within this time.
constexpr Duration PeerContactAge = std::chrono::seconds(1);

} // namespace

ReachabilityTracker::ReachabilityTracker(TrackerTools tools)
    : tools_(std::move(tools))
{
}

std::shared_ptr<ReachabilityTracker> ReachabilityTracker::create(TrackerTools tools)
{
    return std::shared_ptr<ReachabilityTracker>(new ReachabilityTracker(std::move(tools)));
}

ReachabilityTracker::~ReachabilityTracker()
{
    for (const auto &[instance, probe] : probes_) {
        probe.socket->close();
        tools_.loop->cancel(probe.timeout);
    }
}

void ReachabilityTracker::noteConnected(const std::string &instance)
{
    noteActivity();
    connectedAt_ = tools_.loop->now();
    failed_.clear();
    if (state_ == State::Doubtful) {
        state_ = State::Reachable;
    } else if (state_ == State::Unreachable) {
        reached_.insert(instance);
        considerRecovery(instance);
    }
}

void ReachabilityTracker::noteConnectFailed(const std::string &instance)
{
    beginDoubt();
    noteFailed(instance);
    probeIfInDoubt();
    evaluate();
}

void ReachabilityTracker::noteSilent()
{
    beginDoubt();
    probeIfInDoubt();
}

void ReachabilityTracker::noteActivity()
{
    lastContactAt_ = tools_.loop->now();
}

State ReachabilityTracker::state() const
{
    return state_;
}

bool ReachabilityTracker::mayBeCutOff() const
{
    return state_ == State::Unreachable || !probes_.empty();
}

bool ReachabilityTracker::wasCutOffSince(TimePoint time) const
{
    return state_ == State::Unreachable || (unreachableSince_ != TimePoint() && time < recoveringSince_);
}

bool ReachabilityTracker::isDirect(std::uint64_t salt) const
{
    if (state_ == State::Recovering) {
        return static_cast<double>(salt) < directShare(tools_.loop->now() - recoveringSince_) * static_cast<double>(UINT64_MAX);
    }
    return state_ != State::Unreachable;
}

std::optional<Duration> ReachabilityTracker::sinceContact() const
{
    return lastContactAt_ ? std::optional(tools_.loop->now() - *lastContactAt_) : std::nullopt;
}

void ReachabilityTracker::onChange(std::function<void(bool)> handler)
{
    handlers_.push_back(std::move(handler));
}

void ReachabilityTracker::beginDoubt()
{
    lastFailureAt_ = tools_.loop->now();
    if (state_ == State::Reachable) {
        state_ = State::Doubtful;
        doubtfulSince_ = lastFailureAt_;
    }
}

Evidence ReachabilityTracker::evidence() const
{
    Evidence evidence;
    evidence.failedServers = failed_.size();
    evidence.listedServers = tools_.servers().size();
    evidence.isProbing = !probes_.empty();
    return evidence;
}

void ReachabilityTracker::evaluate()
{
    if (state_ != State::Doubtful && state_ != State::Recovering) {
        return;
    }
    if (!isCutOff(evidence(), state_)) {
        return;
    }
    // Connections go to the servers that suit the requests, and these may have ended together. Probes go to others.
    if (probedAt_ <= connectedAt_) {
        probe(ProbesInDoubt);
    }
    if (const Evidence current = evidence(); isCutOff(current, state_)) {
        enterUnreachable(current);
    }
}

void ReachabilityTracker::enterUnreachable(const Evidence &evidence)
{
    state_ = State::Unreachable;
    reached_.clear();
    unreachableSince_ = tools_.loop->now();
    tools_.metrics->add("servers_unreachable_total");
    if (tools_.log) {
        logUnreachable(evidence);
    }
    notify(true);
}

void ReachabilityTracker::logUnreachable(const Evidence &evidence) const
{
    const auto quiet = sinceContact();
    tools_.log->write(Event::ServersUnreachable,
        {{Attribute::Failed, static_cast<std::int64_t>(evidence.failedServers)},
            {Attribute::Present, static_cast<std::int64_t>(evidence.listedServers)},
            {Attribute::AgeMs, toMilliseconds(unreachableSince_ - doubtfulSince_)},
            {Attribute::WaitMs, quiet ? toMilliseconds(*quiet) : std::int64_t(-1)},
            {Attribute::Count, static_cast<std::int64_t>(tools_.peersInContact ? tools_.peersInContact(PeerContactAge) : 0)}});
}

// One server may be reached alone, such as one in the same failure domain.
void ReachabilityTracker::considerRecovery(const std::string &instance)
{
    if (!probes_.empty()) {
        return;
    }
    if (isBack(reached_.size(), evidence().listedServers)) {
        enterRecovering(instance);
    } else {
        probe(ProbesInDoubt);
    }
}

void ReachabilityTracker::enterRecovering(const std::string &instance)
{
    state_ = State::Recovering;
    recoveringSince_ = tools_.loop->now();
    doubtfulSince_ = recoveringSince_;
    if (tools_.log) {
        tools_.log->write(Event::ServersReachable, {{Attribute::Server, instance}, {Attribute::TookMs, toMilliseconds(recoveringSince_ - unreachableSince_)}});
    }
    notify(false);
}

void ReachabilityTracker::notify(bool isCutOff) const
{
    for (const auto &handler : handlers_) {
        handler(isCutOff);
    }
}

void ReachabilityTracker::probeIfInDoubt()
{
    const TimePoint now = tools_.loop->now();
    const bool isPaused = now - probedAt_ < ProbePause;
    const bool isQuiet = !lastContactAt_ || now - *lastContactAt_ >= QuietTime;
    if (state_ == State::Unreachable || isPaused || (!isQuiet && failed_.size() < FailuresToProbe)) {
        return;
    }
    probe(ProbesInDoubt);
}

void ReachabilityTracker::probe(std::size_t count)
{
    probedAt_ = tools_.loop->now();
    const std::vector<ProbeTarget> servers = serversToProbe();
    for (std::size_t i = 0; i < std::min(count, servers.size()); i++) {
        startProbe(servers[i]);
    }
}

// Alternates between the services and the failure domains, as one of them may be down alone.
std::vector<ProbeTarget> ReachabilityTracker::serversToProbe() const
{
    using Rank = std::tuple<std::size_t, std::size_t, TimePoint, std::string>;
    const bool isUnreachable = state_ == State::Unreachable;
    std::map<std::string, std::size_t> ofService;
    std::map<std::string, std::size_t> ofZone;
    std::map<Rank, ProbeTarget> ranked;
    for (ProbeTarget &server : tools_.servers()) {
        const bool isSettled = isUnreachable ? reached_.contains(server.instance) : failed_.contains(server.instance);
        if (isSettled || probes_.contains(server.instance)) {
            continue;
        }
        const auto probed = probedAtByServer_.find(server.instance);
        const TimePoint probedAt = probed == probedAtByServer_.end() ? TimePoint() : probed->second;
        // While no server is reached, all are probed in turn.
        const Rank rank =
            isUnreachable ? Rank(0, 0, probedAt, server.instance) : Rank(ofService[server.service]++, ofZone[server.zone]++, probedAt, server.instance);
        ranked.emplace(rank, std::move(server));
    }
    std::vector<ProbeTarget> servers;
    servers.reserve(ranked.size());
    for (auto &[rank, server] : ranked) {
        servers.push_back(std::move(server));
    }
    return servers;
}

void ReachabilityTracker::startProbe(const ProbeTarget &server)
{
    const std::string instance = server.instance;
    probedAtByServer_[instance] = tools_.loop->now();
    const std::weak_ptr<ReachabilityTracker> weak = weak_from_this();
    const auto end = [weak, instance](bool isConnected) {
        if (const auto self = weak.lock()) {
            self->onProbeEnd(instance, isConnected);
        }
    };
    http1::SocketHandlers handlers;
    handlers.onConnected = [end] {
        end(true);
    };
    handlers.onData = [](std::string_view) {
    };
    handlers.onEnd = [end](http1::SocketEnd) {
        end(false);
    };
    Probe &probe = probes_[instance];
    probe.socket = http1::Socket::connect(*tools_.loop, server.endpoint, {}, std::move(handlers));
    probe.timeout = tools_.loop->after(ProbeTimeout, [end] { end(false); });
}

void ReachabilityTracker::onProbeEnd(const std::string &instance, bool isConnected)
{
    const auto found = probes_.find(instance);
    if (found == probes_.end()) {
        return;
    }
    const Probe probe = std::move(found->second);
    probes_.erase(found);
    probe.socket->close();
    tools_.loop->cancel(probe.timeout);
    // The socket is freed by the event loop, because it is itself the caller of this function.
    tools_.loop->post([socket = probe.socket] {});
    if (isConnected) {
        noteConnected(instance);
        return;
    }
    noteFailed(instance);
    evaluate();
}

void ReachabilityTracker::noteFailed(const std::string &instance)
{
    failed_.insert(instance);
    reached_.clear();
}

void ReachabilityTracker::forgetUnlisted()
{
    if (probedAtByServer_.empty() && failed_.empty()) {
        return;
    }
    std::set<std::string> listed;
    for (const ProbeTarget &server : tools_.servers()) {
        listed.insert(server.instance);
    }
    std::erase_if(probedAtByServer_, [&listed](const auto &entry) { return !listed.contains(entry.first); });
    std::erase_if(failed_, [&listed](const std::string &instance) { return !listed.contains(instance); });
}

void ReachabilityTracker::tick()
{
    const TimePoint now = tools_.loop->now();
    forgetUnlisted();
    if (state_ == State::Unreachable) {
        probe(1);
        return;
    }
    if (state_ == State::Recovering && now - recoveringSince_ >= RecoveryTime) {
        state_ = State::Reachable;
    }
    if (state_ == State::Doubtful && now - lastFailureAt_ >= DoubtLifetime) {
        state_ = State::Reachable;
    }
    if (state_ == State::Reachable) {
        failed_.clear();
    } else if (state_ == State::Doubtful) {
        probeIfInDoubt();
    }
}

} // namespace cardamomlift::reachability
