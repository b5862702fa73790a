#include "contract/contractexchange.h"

#include "contract/contract.pb.h"
#include "kernel/log.h"
#include "text/digest.h"

#include <algorithm>
#include <unordered_set>

namespace cardamomlift::contract {

namespace {

constexpr char Topic[] = "contracts.pull";
constexpr Duration PullPeriod = std::chrono::milliseconds(500);
constexpr Duration CallTimeout = std::chrono::seconds(1);
/// After a new revision, pulls request all heartbeats for this long.
constexpr Duration AllHeartbeatsAfterNewRevision = std::chrono::seconds(6);
/// Pulls request all heartbeats when the last confirmation by the table is older than this.
constexpr Duration AllHeartbeatsTableAge = std::chrono::seconds(2);
constexpr Duration HeartbeatAgeUnit = std::chrono::milliseconds(16);
constexpr std::uint32_t OrderMultiplier = 2654435761U; ///< Odd, so that multiplication permutes the ids.
constexpr std::size_t FanOut = 2;
constexpr std::size_t NewRevisionFanOut = 3;
constexpr std::size_t PromptFanOut = 4;
constexpr std::size_t DefaultMaxHeartbeats = 32; ///< Per reply, unless the requester wants all.
constexpr std::size_t PageBytes = 1 << 20;

std::uint32_t idOf(std::string_view instance)
{
    return static_cast<std::uint32_t>(text::stableHash(instance));
}

void toWire(const ContractVersion &version, wire::Version &out)
{
    out.set_customer(version.customer);
    out.set_version(version.version);
    out.set_revision(version.revision);
    out.set_text(version.text);
    out.set_author(version.author);
    out.set_edit_id(version.editId);
    out.set_accepted_at_ms(version.acceptedAtMs);
    out.set_hops(version.hops + 1);
}

ContractVersion fromWire(const wire::Version &version)
{
    return {version.customer(),
        version.version(),
        version.revision(),
        version.text(),
        version.author(),
        version.edit_id(),
        version.accepted_at_ms(),
        version.hops()};
}

} // namespace

std::shared_ptr<ContractExchange> ContractExchange::create(ExchangeTools tools)
{
    std::shared_ptr<ContractExchange> exchange(new ContractExchange);
    exchange->tools_ = std::move(tools);
    ContractExchange *raw = exchange.get();
    raw->startedAt_ = raw->tools_.loop->now();
    raw->tools_.transport->handle(Topic, [raw](const std::string &from, const std::string &payload, const peers::Reply &reply) {
        std::string answer = raw->answerPull(from, payload);
        raw->counters_.bytesReceived += payload.size();
        raw->counters_.bytesSent += answer.size();
        reply(std::move(answer));
    });
    raw->tools_.members->onChange([raw] { raw->updatePeers(); });
    raw->updatePeers();
    raw->tools_.set->onRevision([raw] { raw->onRevisionRaised(); });
    return exchange;
}

void ContractExchange::start()
{
    tools_.loop->every(PullPeriod, [this] { tick(); });
}

// Orders the peers differently on each VM, so that the VMs do not all pull from the same peer at once.
void ContractExchange::updatePeers()
{
    peers_.clear();
    std::unordered_set<std::uint32_t> listed;
    for (membership::Vm &vm : tools_.members->peers()) {
        const std::uint32_t id = idOf(vm.instance);
        listed.insert(id);
        if (vm.state == membership::VmState::Live && vm.peerPort != 0) {
            peers_.push_back({std::move(vm), id});
        }
    }
    const std::uint32_t self = idOf(tools_.members->self());
    const auto rank = [self](const Peer &peer) {
        return (peer.id ^ self) * OrderMultiplier;
    };
    std::sort(peers_.begin(), peers_.end(), [&](const Peer &a, const Peer &b) { return rank(a) < rank(b); });
    std::erase_if(heartbeats_, [&](const auto &entry) { return !listed.contains(entry.first); });
}

const ContractExchange::PeerHeartbeat *ContractExchange::heartbeatOf(const Peer &peer) const
{
    const auto found = heartbeats_.find(peer.id);
    return found == heartbeats_.end() ? nullptr : &found->second;
}

std::optional<Duration> ContractExchange::tableAge() const
{
    const auto asOf = tools_.sync->confirmedAsOf();
    if (!asOf) {
        return std::nullopt;
    }
    return tools_.loop->now() - *asOf;
}

FreshnessInputs ContractExchange::freshnessInputs() const
{
    FreshnessInputs inputs;
    inputs.hasAllContracts = tools_.sync->hasAllContracts();
    inputs.tableAge = tableAge();
    inputs.listKnown = tools_.listKnown();
    inputs.listed = peers_.size() + 1;
    TimePoint oldest = tools_.loop->now() - FreshnessBound;
    if (!inputs.hasAllContracts) {
        // NOTE Until this VM has all contracts, heartbeats from before its start don't count: an older heartbeat of a peer
        // may predate an edit that only this peer and the VM replaced by this one held.
        oldest = std::max(oldest, startedAt_);
    }
    for (const Peer &peer : peers_) {
        const PeerHeartbeat *heartbeat = heartbeatOf(peer);
        const bool isHeard = heartbeat && heartbeat->asOf && *heartbeat->asOf >= oldest;
        inputs.heard += isHeard ? 1 : 0;
    }
    return inputs;
}

FreshnessReason ContractExchange::freshness() const
{
    const auto age = tableAge();
    if (tools_.sync->hasAllContracts() && age && *age <= FreshnessBound) {
        return FreshnessReason::ConfirmedByTable; // The common case; avoids iterating over all peers.
    }
    return evaluateFreshness(freshnessInputs());
}

std::vector<VmRevision> ContractExchange::vmRevisions() const
{
    std::vector<VmRevision> result;
    const membership::Vm *self = tools_.members->find(tools_.members->self());
    result.push_back({tools_.members->self(), self ? self->zone : "", tools_.set->revision(), Duration(0)});
    for (const Peer &peer : peers_) {
        VmRevision entry{peer.vm.instance, peer.vm.zone, 0, std::nullopt};
        if (const PeerHeartbeat *heartbeat = heartbeatOf(peer)) {
            entry.revision = heartbeat->revision;
            if (heartbeat->asOf) {
                entry.age = tools_.loop->now() - *heartbeat->asOf;
            }
        }
        result.push_back(std::move(entry));
    }
    std::sort(result.begin() + 1, result.end(), [](const VmRevision &a, const VmRevision &b) { return a.instance < b.instance; });
    return result;
}

// All heartbeats are needed while someone counts them: for the majority rule when the table is unreachable, and to see
// where a new edit is in force.
bool ContractExchange::needsAllHeartbeats() const
{
    const auto age = tableAge();
    return tools_.loop->now() < allHeartbeatsUntil_ || !age || *age > AllHeartbeatsTableAge;
}

void ContractExchange::tick()
{
    logFreshness();
    pullFromNextPeers(FanOut);
}

void ContractExchange::logFreshness()
{
    const FreshnessReason reason = freshness();
    if (reason == loggedFreshness_) {
        return;
    }
    loggedFreshness_ = reason;
    const FreshnessInputs now = freshnessInputs();
    if (mayTakeNewWork(reason)) {
        partLogger("contract")->info("Accepting new work. reason={} heard={} listed={}", freshnessName(reason), now.heard, now.listed);
    } else {
        partLogger("contract")->warn("Not accepting new work. reason={} heard={} listed={}", freshnessName(reason), now.heard, now.listed);
    }
}

// The peers see in the pull request that this VM is ahead and pull in return, so a new revision spreads in a few hops
// instead of waiting for periodic pulls.
void ContractExchange::onRevisionRaised()
{
    allHeartbeatsUntil_ = tools_.loop->now() + AllHeartbeatsAfterNewRevision;
    pullFromNextPeers(NewRevisionFanOut);
}

void ContractExchange::pullFromNextPeers(std::size_t count)
{
    for (std::size_t i = 0; i < std::min(count, peers_.size()); i++) {
        pull(peers_[nextPeer_++ % peers_.size()].vm, tools_.set->revision());
    }
}

void ContractExchange::promptLaggingPeers(std::uint64_t revision)
{
    std::size_t prompted = 0;
    for (std::size_t i = 0; i < peers_.size() && prompted < PromptFanOut; i++) {
        const Peer &peer = peers_[nextPeer_++ % peers_.size()];
        const PeerHeartbeat *heartbeat = heartbeatOf(peer);
        if (!heartbeat || heartbeat->revision < revision) {
            pull(peer.vm, tools_.set->revision());
            prompted++;
        }
    }
}

const ExchangeCounters &ContractExchange::counters() const
{
    return counters_;
}

void ContractExchange::pull(const membership::Vm &peer, std::uint64_t after)
{
    if (!pendingPulls_.insert(peer.instance).second) {
        return;
    }
    wire::PullRequest request;
    request.set_revision(tools_.sync->hasAllContracts() ? tools_.set->revision() : 0);
    request.set_after(after);
    request.set_wants_all_beats(needsAllHeartbeats());
    const TimePoint requestedAt = tools_.loop->now();
    std::string bytes = request.SerializeAsString();
    counters_.pulls++;
    counters_.bytesSent += bytes.size();
    tools_.transport->send(membership::peerAddress(peer), Topic, std::move(bytes), CallTimeout, [this, peer, requestedAt](Result<std::string> payload) {
        pendingPulls_.erase(peer.instance);
        if (payload) {
            counters_.bytesReceived += payload.value().size();
            onReply(peer, payload.value(), requestedAt);
        }
    });
}

void ContractExchange::onReply(const membership::Vm &peer, const std::string &payload, TimePoint requestedAt)
{
    wire::PullReply reply;
    if (!reply.ParseFromString(payload) || !reply.complete()) {
        return;
    }
    for (const wire::Version &version : reply.versions()) {
        tools_.set->applyIfNewer(fromWire(version));
    }
    if (reply.more() && reply.versions_size() > 0) {
        pull(peer, reply.versions(reply.versions_size() - 1).revision());
        return;
    }
    applyLastPage(peer.instance, reply, requestedAt);
}

void ContractExchange::applyLastPage(const std::string &instance, const wire::PullReply &reply, TimePoint requestedAt)
{
    tools_.set->setRevision(reply.revision());
    recordHeartbeat(idOf(instance), reply.revision(), requestedAt);
    const int beats = std::min({reply.beat_ids_size(), reply.beat_ages_size(), reply.beat_lags_size()});
    for (int i = 0; i < beats; i++) {
        const std::uint64_t lag = std::min(reply.beat_lags(i), reply.revision());
        recordHeartbeat(reply.beat_ids(i), reply.revision() - lag, requestedAt - reply.beat_ages(i) * HeartbeatAgeUnit);
    }
    if (!tools_.sync->hasAllContracts() && completeFromPeers(freshnessInputs())) {
        partLogger("contract")->info("Received all contracts from peers. revision={}", tools_.set->revision());
        tools_.sync->setHasAllContracts();
    }
    if (reply.has_table_age_ms()) {
        tools_.sync->confirm(requestedAt - std::chrono::milliseconds(reply.table_age_ms()));
    }
}

std::string ContractExchange::answerPull(const std::string &from, const std::string &payload)
{
    wire::PullRequest request;
    wire::PullReply reply;
    if (!request.ParseFromString(payload)) {
        return {};
    }
    recordHeartbeat(idOf(from), request.revision(), std::nullopt);
    const membership::Vm *asker = tools_.members->find(from);
    if (asker && request.revision() > tools_.set->revision()) {
        pull(*asker, tools_.set->revision());
    }
    if (!tools_.sync->hasAllContracts()) {
        return reply.SerializeAsString();
    }
    reply.set_complete(true);
    reply.set_revision(tools_.set->revision());
    addVersionsPage(reply, request.after());
    addHeartbeats(reply, request.wants_all_beats());
    if (const auto age = tableAge()) {
        reply.set_table_age_ms(static_cast<std::uint64_t>(std::chrono::ceil<std::chrono::milliseconds>(*age).count()));
    }
    return reply.SerializeAsString();
}

void ContractExchange::addVersionsPage(wire::PullReply &reply, std::uint64_t after) const
{
    std::size_t bytes = 0;
    for (const auto &entry : tools_.set->newerThan(after)) {
        if (bytes > PageBytes) {
            reply.set_more(true);
            return;
        }
        bytes += entry->version.text.size();
        toWire(entry->version, *reply.add_versions());
    }
}

void ContractExchange::addHeartbeats(wire::PullReply &reply, bool all) const
{
    std::vector<std::pair<TimePoint, std::uint32_t>> newest;
    const TimePoint now = tools_.loop->now();
    for (const auto &[id, heartbeat] : heartbeats_) {
        if (heartbeat.asOf && now - *heartbeat.asOf <= FreshnessBound) {
            newest.emplace_back(*heartbeat.asOf, id);
        }
    }
    std::sort(newest.rbegin(), newest.rend());
    if (!all && newest.size() > DefaultMaxHeartbeats) {
        newest.resize(DefaultMaxHeartbeats);
    }
    for (const auto &[asOf, id] : newest) {
        const std::uint64_t revision = heartbeats_.at(id).revision;
        reply.add_beat_ids(id);
        reply.add_beat_ages(static_cast<std::uint32_t>((now - asOf + HeartbeatAgeUnit - Duration(1)) / HeartbeatAgeUnit));
        reply.add_beat_lags(reply.revision() - std::min(revision, reply.revision()));
    }
}

// A revision counts whatever the age of the message, as the revision in force on a VM never decreases. The time of a
// heartbeat is only taken from a reply, whose age is bounded by the time of the request.
void ContractExchange::recordHeartbeat(std::uint32_t id, std::uint64_t revision, std::optional<TimePoint> asOf)
{
    if (id == idOf(tools_.members->self())) {
        return;
    }
    PeerHeartbeat &heartbeat = heartbeats_[id];
    heartbeat.revision = std::max(heartbeat.revision, revision);
    if (asOf && (!heartbeat.asOf || *heartbeat.asOf < *asOf)) {
        heartbeat.asOf = asOf;
    }
}

} // namespace cardamomlift::contract
