#include "contract/contractexchange.h"

#include "contract/contract.pb.h"
#include "kernel/log.h"
#include "text/digest.h"

#include <algorithm>
#include <unordered_set>

namespace cardamomlift::contract {

namespace {

constexpr char Topic[] = "contracts.pull";
constexpr Duration Period = std::chrono::milliseconds(500);
constexpr Duration CallTimeout = std::chrono::seconds(1);
constexpr Duration EagerAfterNews = std::chrono::seconds(6);
constexpr Duration EagerTableAge = std::chrono::seconds(2);
constexpr Duration AgeUnit = std::chrono::milliseconds(16);
constexpr std::uint32_t OrderMultiplier = 2654435761U; ///< Odd: a permutation of the ids.
constexpr std::size_t FanOut = 2;
constexpr std::size_t NewsFanOut = 3;
constexpr std::size_t ChaseFanOut = 4;
constexpr std::size_t BeatsWhenCalm = 32;
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
        std::string answer = raw->answer(from, payload);
        raw->counters_.bytesReceived += payload.size();
        raw->counters_.bytesSent += answer.size();
        reply(std::move(answer));
    });
    raw->tools_.members->onChange([raw] { raw->readMembers(); });
    raw->readMembers();
    raw->tools_.set->onRevision([raw] { raw->announce(); });
    return exchange;
}

void ContractExchange::start()
{
    tools_.loop->every(Period, [this] { tick(); });
}

// Each VM has an order of its own, so that they do not all ask the same one.
void ContractExchange::readMembers()
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
    std::erase_if(beats_, [&](const auto &entry) { return !listed.contains(entry.first); });
}

const ContractExchange::Beat *ContractExchange::beatOf(const Peer &peer) const
{
    const auto found = beats_.find(peer.id);
    return found == beats_.end() ? nullptr : &found->second;
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
        // NOTE What peers last heard of one another before this VM started says nothing about edits that only the VM
        // it replaces and one of them had.
        oldest = std::max(oldest, startedAt_);
    }
    for (const Peer &peer : peers_) {
        const Beat *beat = beatOf(peer);
        const bool isHeard = beat && beat->asOf && *beat->asOf >= oldest;
        inputs.heard += isHeard ? 1 : 0;
    }
    return inputs;
}

FreshnessReason ContractExchange::freshness() const
{
    const auto age = tableAge();
    if (tools_.sync->hasAllContracts() && age && *age <= FreshnessBound) {
        return FreshnessReason::ConfirmedByTable; // The usual case, without looking at every VM.
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
        if (const Beat *beat = beatOf(peer)) {
            entry.revision = beat->revision;
            if (beat->asOf) {
                entry.age = tools_.loop->now() - *beat->asOf;
            }
        }
        result.push_back(std::move(entry));
    }
    std::sort(result.begin() + 1, result.end(), [](const VmRevision &a, const VmRevision &b) { return a.instance < b.instance; });
    return result;
}

// All heartbeats are asked for while somebody counts them: without the table, and after an edit.
bool ContractExchange::isEager() const
{
    const auto age = tableAge();
    return tools_.loop->now() < eagerUntil_ || !age || *age > EagerTableAge;
}

void ContractExchange::tick()
{
    logFreshness();
    pullNext(FanOut);
}

void ContractExchange::logFreshness()
{
    const FreshnessReason reason = freshness();
    if (reason == logged_) {
        return;
    }
    logged_ = reason;
    const FreshnessInputs now = freshnessInputs();
    if (mayTakeNewWork(reason)) {
        partLogger("contract")->info("Takes new work. reason={} heard={} listed={}", freshnessName(reason), now.heard, now.listed);
    } else {
        partLogger("contract")->warn("Takes no new work. reason={} heard={} listed={}", freshnessName(reason), now.heard, now.listed);
    }
}

// A VM asked by one that is ahead asks back: so news travels in a few hops, not in rounds.
void ContractExchange::announce()
{
    eagerUntil_ = tools_.loop->now() + EagerAfterNews;
    pullNext(NewsFanOut);
}

void ContractExchange::pullNext(std::size_t count)
{
    for (std::size_t i = 0; i < std::min(count, peers_.size()); i++) {
        pull(peers_[turn_++ % peers_.size()].vm, tools_.set->revision());
    }
}

void ContractExchange::promptLaggingPeers(std::uint64_t revision)
{
    std::size_t asked = 0;
    for (std::size_t i = 0; i < peers_.size() && asked < ChaseFanOut; i++) {
        const Peer &peer = peers_[turn_++ % peers_.size()];
        const Beat *beat = beatOf(peer);
        if (!beat || beat->revision < revision) {
            pull(peer.vm, tools_.set->revision());
            asked++;
        }
    }
}

const ExchangeCounters &ContractExchange::counters() const
{
    return counters_;
}

void ContractExchange::pull(const membership::Vm &peer, std::uint64_t after)
{
    if (!asking_.insert(peer.instance).second) {
        return;
    }
    wire::PullRequest request;
    request.set_revision(tools_.sync->hasAllContracts() ? tools_.set->revision() : 0);
    request.set_after(after);
    request.set_wants_all_beats(isEager());
    const TimePoint asked = tools_.loop->now();
    std::string bytes = request.SerializeAsString();
    counters_.questions++;
    counters_.bytesSent += bytes.size();
    tools_.transport->send(membership::peerAddress(peer), Topic, std::move(bytes), CallTimeout, [this, peer, asked](Result<std::string> payload) {
        asking_.erase(peer.instance);
        if (payload) {
            counters_.bytesReceived += payload.value().size();
            onReply(peer, payload.value(), asked);
        }
    });
}

void ContractExchange::onReply(const membership::Vm &peer, const std::string &payload, TimePoint asked)
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
    takeLastPage(peer.instance, reply, asked);
}

void ContractExchange::takeLastPage(const std::string &instance, const wire::PullReply &reply, TimePoint asked)
{
    tools_.set->setRevision(reply.revision());
    merge(idOf(instance), reply.revision(), asked);
    const int beats = std::min({reply.beat_ids_size(), reply.beat_ages_size(), reply.beat_lags_size()});
    for (int i = 0; i < beats; i++) {
        const std::uint64_t lag = std::min(reply.beat_lags(i), reply.revision());
        merge(reply.beat_ids(i), reply.revision() - lag, asked - reply.beat_ages(i) * AgeUnit);
    }
    if (!tools_.sync->hasAllContracts() && completeFromPeers(freshnessInputs())) {
        partLogger("contract")->info("All contracts come from peers. revision={}", tools_.set->revision());
        tools_.sync->setHasAllContracts();
    }
    if (reply.has_table_age_ms()) {
        tools_.sync->confirm(asked - std::chrono::milliseconds(reply.table_age_ms()));
    }
}

std::string ContractExchange::answer(const std::string &from, const std::string &payload)
{
    wire::PullRequest request;
    wire::PullReply reply;
    if (!request.ParseFromString(payload)) {
        return {};
    }
    merge(idOf(from), request.revision(), std::nullopt);
    const membership::Vm *asker = tools_.members->find(from);
    if (asker && request.revision() > tools_.set->revision()) {
        pull(*asker, tools_.set->revision());
    }
    if (!tools_.sync->hasAllContracts()) {
        return reply.SerializeAsString();
    }
    reply.set_complete(true);
    reply.set_revision(tools_.set->revision());
    addVersions(reply, request.after());
    addBeats(reply, request.wants_all_beats());
    if (const auto age = tableAge()) {
        reply.set_table_age_ms(static_cast<std::uint64_t>(std::chrono::ceil<std::chrono::milliseconds>(*age).count()));
    }
    return reply.SerializeAsString();
}

void ContractExchange::addVersions(wire::PullReply &reply, std::uint64_t after) const
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

void ContractExchange::addBeats(wire::PullReply &reply, bool all) const
{
    std::vector<std::pair<TimePoint, std::uint32_t>> newest;
    const TimePoint now = tools_.loop->now();
    for (const auto &[id, beat] : beats_) {
        if (beat.asOf && now - *beat.asOf <= FreshnessBound) {
            newest.emplace_back(*beat.asOf, id);
        }
    }
    std::sort(newest.rbegin(), newest.rend());
    if (!all && newest.size() > BeatsWhenCalm) {
        newest.resize(BeatsWhenCalm);
    }
    for (const auto &[asOf, id] : newest) {
        const std::uint64_t revision = beats_.at(id).revision;
        reply.add_beat_ids(id);
        reply.add_beat_ages(static_cast<std::uint32_t>((now - asOf + AgeUnit - Duration(1)) / AgeUnit));
        reply.add_beat_lags(reply.revision() - std::min(revision, reply.revision()));
    }
}

// A revision counts whatever the age of the message: what is in force never goes back. The instant of a heartbeat is only
// taken from an answer, whose age is bounded by the moment of asking.
void ContractExchange::merge(std::uint32_t id, std::uint64_t revision, std::optional<TimePoint> asOf)
{
    if (id == idOf(tools_.members->self())) {
        return;
    }
    Beat &beat = beats_[id];
    beat.revision = std::max(beat.revision, revision);
    if (asOf && (!beat.asOf || *beat.asOf < *asOf)) {
        beat.asOf = asOf;
    }
}

} // namespace cardamomlift::contract
