#include "membership/heartbeat.h"

#include "kernel/log.h"
#include "membership/membership.pb.h"
#include "membership/overlay.h"
#include "membership/wirevm.h"

namespace cardamomlift::membership {

namespace {

constexpr char PingTopic[] = "heartbeat.ping";
constexpr char RelayTopic[] = "heartbeat.relay";
constexpr char HealthTopic[] = "health";
constexpr Duration ProbePeriod = std::chrono::milliseconds(500);
constexpr Duration DirectTimeout = std::chrono::milliseconds(500);
constexpr Duration IndirectTimeout = std::chrono::seconds(1);
// Longer than a round: a late answer still shows that the VM is alive.
constexpr Duration PingTimeout = std::chrono::seconds(4);
constexpr Duration HeardWindow = std::chrono::seconds(10); // A VM last heard longer ago does not count as heard.
// A tick this late means that this process was paused; answers missed meanwhile say nothing about other VMs.
constexpr Duration PauseThreshold = std::chrono::seconds(2);
constexpr Duration HealthTtl = std::chrono::hours(2);
constexpr std::size_t IndirectProbers = 2;

} // namespace

std::shared_ptr<Heartbeat> Heartbeat::create(
    EventLoop &loop, std::shared_ptr<peers::PeerTransport> transport, std::shared_ptr<Members> members, std::shared_ptr<Gossip> gossip, Vm self)
{
    std::shared_ptr<Heartbeat> heartbeat(new Heartbeat);
    Heartbeat *raw = heartbeat.get();
    raw->loop_ = &loop;
    raw->transport_ = std::move(transport);
    raw->members_ = std::move(members);
    raw->gossip_ = std::move(gossip);
    raw->self_ = std::move(self);
    raw->lastTick_ = loop.now();
    raw->lastAnyHeard_ = loop.now();
    raw->transport_->handle(
        PingTopic, [raw](const std::string &from, const std::string &payload, const peers::Reply &reply) { raw->onPing(from, payload, reply); });
    raw->transport_->handle(RelayTopic, [raw](const std::string &, const std::string &payload, const peers::Reply &reply) { raw->onRelay(payload, reply); });
    raw->gossip_->onRumour(HealthTopic, [raw](const Rumour &rumour) { raw->onHealthRumour(rumour); });
    return heartbeat;
}

void Heartbeat::start()
{
    loop_->every(ProbePeriod, [this] { tick(); });
}

void Heartbeat::tick()
{
    const bool wasPaused = loop_->now() - lastTick_ >= PauseThreshold;
    lastTick_ = loop_->now();
    if (wasPaused) {
        partLogger("membership")->warn("This process was paused; discarding its probe results.");
        records_.clear();
        gossip_->compareNow();
    }
    const std::vector<peers::PeerAddress> &neighbours = gossip_->neighbours();
    if (neighbours.empty()) {
        return;
    }
    if (nextProbeIndex_ % neighbours.size() == 0) {
        forgetRemovedVms();
    }
    const Vm *next = members_->find(neighbours[nextProbeIndex_++ % neighbours.size()].instance);
    if (next) {
        probe(*next);
    }
    // Each tick also probes one neighbour that missed its last round, so that it is suspected or cleared within seconds.
    for (const peers::PeerAddress &neighbour : neighbours) {
        const Vm *vm = members_->find(neighbour.instance);
        const bool isFailed = members_->healthOf(neighbour.instance) == Health::Failed;
        if (vm && vm != next && !isFailed && hasMissedRounds(neighbour.instance)) {
            probe(*vm);
            return;
        }
    }
}

void Heartbeat::forgetRemovedVms()
{
    const auto isUnknown = [this](const auto &entry) {
        return members_->find(entry.first) == nullptr;
    };
    std::erase_if(records_, isUnknown);
    std::erase_if(needsDescription_, isUnknown);
    std::erase_if(healthChangedAt_, isUnknown);
}

void Heartbeat::probe(const Vm &target)
{
    auto round = std::make_shared<Round>();
    records_.emplace(target.instance, ProbeRecord{loop_->now()});
    wire::Ping ping;
    if (needsDescription_[target.instance]) {
        vmToWire(self_, *ping.mutable_self());
    }
    transport_->send(
        peerAddress(target), PingTopic, ping.SerializeAsString(), PingTimeout, [this, round, instance = target.instance](const Result<std::string> &reply) {
            wire::PingReply answer;
            if (!reply || !answer.ParseFromString(reply.value())) {
                return;
            }
            round->answered = true;
            needsDescription_[instance] = !answer.knows_sender();
            onAnswer(instance);
        });
    loop_->after(DirectTimeout, [this, round, target] {
        if (!round->answered) {
            probeIndirectly(target, round);
        }
    });
}

// Asks neighbours of the target, as they have connections to it already.
void Heartbeat::probeIndirectly(const Vm &target, const RoundPtr &round)
{
    wire::Relay relay;
    relay.set_instance(target.instance);
    relay.set_address(target.address);
    relay.set_port(target.peerPort);
    std::size_t proberCount = 0;
    std::vector<Vm> entries = members_->peers();
    entries.push_back(self_);
    for (const std::string &instance : chooseNeighbours(entries, target.instance)) {
        const Vm *prober = members_->find(instance);
        if (!prober || instance == self_.instance || members_->healthOf(instance) != Health::Alive || hasMissedRounds(instance)) {
            continue;
        }
        transport_->send(peerAddress(*prober), RelayTopic, relay.SerializeAsString(), IndirectTimeout, [round](const Result<std::string> &reply) {
            round->answered = round->answered || reply.has_value();
        });
        if (++proberCount == IndirectProbers) {
            break;
        }
    }
    loop_->after(IndirectTimeout, [this, round, instance = target.instance] { endRound(instance, round); });
}

void Heartbeat::endRound(const std::string &instance, const RoundPtr &round)
{
    // NOTE After a pause of this process, timers run before the answers waiting in the sockets are read, so the round may
    // have been answered.
    if (loop_->now() - lastTick_ >= PauseThreshold) {
        return;
    }
    ProbeRecord &record = records_[instance];
    if (round->answered) {
        record.missedRounds = 0;
        return;
    }
    recordMissedRound(record);
    updateHealth(instance);
}

void Heartbeat::updateHealth(const std::string &instance)
{
    const Rumour *rumour = gossip_->find(HealthTopic, instance);
    const HealthStatus held = rumour ? statusOf(rumour->version) : HealthStatus{};
    const ProbeRecord &record = records_[instance];
    const auto changedAt = healthChangedAt_.find(instance);
    ProbeEvidence evidence;
    evidence.silentFor = timeSinceHeard(record, loop_->now());
    evidence.statusAge = changedAt == healthChangedAt_.end() ? Duration(0) : loop_->now() - changedAt->second;
    evidence.selfIsPartitioned = isPartitioned(reachability());
    const HealthStatus next = nextStatus(record, held, evidence);
    if (versionOf(next) == versionOf(held)) {
        return;
    }
    partLogger("membership")->warn("An entry VM does not answer heartbeats. vm={} state={}", instance, nameOf(next.health));
    gossip_->publish(HealthTopic, instance, versionOf(next), "", HealthTtl);
}

void Heartbeat::onHealthRumour(const Rumour &rumour)
{
    const HealthStatus status = statusOf(rumour.version);
    if (rumour.key == self_.instance) {
        if (mustRefute(status)) {
            partLogger("membership")->warn("Refuting a report that this VM is {}.", nameOf(status.health));
            gossip_->publish(HealthTopic, self_.instance, versionOf({status.incarnation + 1, Health::Alive}), "", HealthTtl);
        }
        return;
    }
    healthChangedAt_[rumour.key] = loop_->now();
    members_->setHealth(rumour.key, status.health);
}

void Heartbeat::onPing(const std::string &from, const std::string &payload, const peers::Reply &reply)
{
    wire::Ping ping;
    if (ping.ParseFromString(payload) && ping.has_self() && ping.self().instance() == from) {
        members_->addProvisional(vmFromWire(ping.self()));
    }
    wire::PingReply answer;
    answer.set_knows_sender(members_->find(from) != nullptr);
    lastAnyHeard_ = loop_->now();
    records_[from].lastHeard = loop_->now();
    reply(answer.SerializeAsString());
}

void Heartbeat::onRelay(const std::string &payload, const peers::Reply &reply)
{
    wire::Relay relay;
    if (!relay.ParseFromString(payload)) {
        reply(failure(ErrorKind::Denied, "invalid heartbeat.relay payload"));
        return;
    }
    const peers::PeerAddress target{relay.instance(), relay.address(), static_cast<std::uint16_t>(relay.port())};
    transport_->send(target, PingTopic, wire::Ping().SerializeAsString(), IndirectTimeout, [reply](const Result<std::string> &answer) { reply(answer); });
}

void Heartbeat::onAnswer(const std::string &instance)
{
    lastAnyHeard_ = loop_->now();
    recordAnswer(records_[instance], loop_->now());
}

bool Heartbeat::hasMissedRounds(const std::string &instance) const
{
    const auto found = records_.find(instance);
    return found != records_.end() && found->second.missedRounds > 0;
}

bool Heartbeat::isHeardDirectly(const std::string &instance) const
{
    const auto found = records_.find(instance);
    return found != records_.end() && found->second.missedRounds == 0 && loop_->now() - found->second.lastHeard <= HeardWindow;
}

Reachability Heartbeat::reachability() const
{
    Reachability result;
    result.timeSinceAnyHeard = loop_->now() - lastAnyHeard_;
    result.neighbours = gossip_->neighbours().size();
    for (const peers::PeerAddress &neighbour : gossip_->neighbours()) {
        result.neighboursHeard += isHeardDirectly(neighbour.instance) ? 1 : 0;
    }
    const bool hearsMost = !isPartitioned(result);
    for (const Vm &vm : members_->peers()) {
        const bool isHeard = isHeardDirectly(vm.instance) || (hearsMost && members_->healthOf(vm.instance) == Health::Alive);
        const bool isInRegion = vm.region == self_.region;
        result.listed++;
        result.heard += isHeard ? 1 : 0;
        result.listedInRegion += isInRegion ? 1 : 0;
        result.heardInRegion += isHeard && isInRegion ? 1 : 0;
    }
    return result;
}

} // namespace cardamomlift::membership
