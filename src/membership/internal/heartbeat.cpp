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
constexpr Duration Period = std::chrono::milliseconds(500);
constexpr Duration DirectWait = std::chrono::milliseconds(500);
constexpr Duration IndirectWait = std::chrono::seconds(1);
// Longer than a round: an answer that comes late is still a sign of life.
constexpr Duration PingTimeout = std::chrono::seconds(4);
constexpr Duration HeardWindow = std::chrono::seconds(10);
// A tick this late means that the process was paused: what it missed says nothing about others.
constexpr Duration PausedAfter = std::chrono::seconds(2);
constexpr Duration KeepStatement = std::chrono::hours(2);
constexpr std::size_t Helpers = 2;

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
    raw->gossip_->onRumour(HealthTopic, [raw](const Rumour &rumour) { raw->onStatement(rumour); });
    return heartbeat;
}

void Heartbeat::start()
{
    loop_->every(Period, [this] { tick(); });
}

void Heartbeat::tick()
{
    const bool wasPaused = loop_->now() - lastTick_ >= PausedAfter;
    lastTick_ = loop_->now();
    if (wasPaused) {
        partLogger("membership")->warn("This VM was paused.");
        records_.clear();
        gossip_->compareNow();
    }
    const std::vector<peers::PeerAddress> &neighbours = gossip_->neighbours();
    if (neighbours.empty()) {
        return;
    }
    if (nextProbed_ % neighbours.size() == 0) {
        forgetStrangers();
    }
    const Vm *next = members_->find(neighbours[nextProbed_++ % neighbours.size()].instance);
    if (next) {
        probe(*next);
    }
    // A neighbour that missed a round is called at each turn, so that it is judged within seconds.
    for (const peers::PeerAddress &neighbour : neighbours) {
        const Vm *vm = members_->find(neighbour.instance);
        const bool isJudged = members_->healthOf(neighbour.instance) == Health::Failed;
        if (vm && vm != next && !isJudged && missedLately(neighbour.instance)) {
            probe(*vm);
            return;
        }
    }
}

void Heartbeat::forgetStrangers()
{
    const auto isUnknown = [this](const auto &entry) {
        return members_->find(entry.first) == nullptr;
    };
    std::erase_if(records_, isUnknown);
    std::erase_if(strangers_, isUnknown);
    std::erase_if(statementSince_, isUnknown);
}

void Heartbeat::probe(const Vm &target)
{
    auto round = std::make_shared<Round>();
    records_.emplace(target.instance, ProbeRecord{loop_->now()});
    wire::Ping ping;
    if (strangers_[target.instance]) {
        vmToWire(self_, *ping.mutable_self());
    }
    transport_->send(
        peerAddress(target), PingTopic, ping.SerializeAsString(), PingTimeout, [this, round, instance = target.instance](const Result<std::string> &reply) {
            wire::PingReply answer;
            if (!reply || !answer.ParseFromString(reply.value())) {
                return;
            }
            round->answered = true;
            strangers_[instance] = !answer.knows_sender();
            heard(instance);
        });
    loop_->after(DirectWait, [this, round, target] {
        if (!round->answered) {
            askOthers(target, round);
        }
    });
}

// The neighbours of the target have connections to it already.
void Heartbeat::askOthers(const Vm &target, const RoundPtr &round)
{
    wire::Relay relay;
    relay.set_instance(target.instance);
    relay.set_address(target.address);
    relay.set_port(target.peerPort);
    std::size_t asked = 0;
    std::vector<Vm> entries = members_->peers();
    entries.push_back(self_);
    for (const std::string &instance : chooseNeighbours(entries, target.instance)) {
        const Vm *helper = members_->find(instance);
        if (!helper || instance == self_.instance || members_->healthOf(instance) != Health::Alive || missedLately(instance)) {
            continue;
        }
        transport_->send(peerAddress(*helper), RelayTopic, relay.SerializeAsString(), IndirectWait, [round](const Result<std::string> &reply) {
            round->answered = round->answered || reply.has_value();
        });
        if (++asked == Helpers) {
            break;
        }
    }
    loop_->after(IndirectWait, [this, round, instance = target.instance] { endRound(instance, round); });
}

void Heartbeat::endRound(const std::string &instance, const RoundPtr &round)
{
    // NOTE After a pause the timers run before the answers that wait in the sockets.
    if (loop_->now() - lastTick_ >= PausedAfter) {
        return;
    }
    ProbeRecord &record = records_[instance];
    if (round->answered) {
        record.missedRounds = 0;
        return;
    }
    noteMissed(record);
    judgeNeighbour(instance);
}

void Heartbeat::judgeNeighbour(const std::string &instance)
{
    const Rumour *rumour = gossip_->find(HealthTopic, instance);
    const HealthStatement held = rumour ? statementOf(rumour->version) : HealthStatement{};
    const ProbeRecord &record = records_[instance];
    const auto since = statementSince_.find(instance);
    JudgeFacts facts;
    facts.silentFor = silence(record, loop_->now());
    facts.heldFor = since == statementSince_.end() ? Duration(0) : loop_->now() - since->second;
    facts.selfIsCutOff = isCutOff(reachability());
    const HealthStatement next = judge(record, held, facts);
    if (versionOf(next) == versionOf(held)) {
        return;
    }
    partLogger("membership")->warn("A VM does not answer. vm={} state={}", instance, nameOf(next.health));
    gossip_->publish(HealthTopic, instance, versionOf(next), "", KeepStatement);
}

void Heartbeat::onStatement(const Rumour &rumour)
{
    const HealthStatement statement = statementOf(rumour.version);
    if (rumour.key == self_.instance) {
        if (mustRefute(statement)) {
            partLogger("membership")->warn("Others took this VM for {}.", nameOf(statement.health));
            gossip_->publish(HealthTopic, self_.instance, versionOf({statement.incarnation + 1, Health::Alive}), "", KeepStatement);
        }
        return;
    }
    statementSince_[rumour.key] = loop_->now();
    members_->setHealth(rumour.key, statement.health);
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
        reply(failure(ErrorKind::Denied, "not a relay request"));
        return;
    }
    const peers::PeerAddress target{relay.instance(), relay.address(), static_cast<std::uint16_t>(relay.port())};
    transport_->send(target, PingTopic, wire::Ping().SerializeAsString(), IndirectWait, [reply](const Result<std::string> &answer) { reply(answer); });
}

void Heartbeat::heard(const std::string &instance)
{
    lastAnyHeard_ = loop_->now();
    noteHeard(records_[instance], loop_->now());
}

bool Heartbeat::missedLately(const std::string &instance) const
{
    const auto found = records_.find(instance);
    return found != records_.end() && found->second.missedRounds > 0;
}

bool Heartbeat::hears(const std::string &instance) const
{
    const auto found = records_.find(instance);
    return found != records_.end() && found->second.missedRounds == 0 && loop_->now() - found->second.lastHeard <= HeardWindow;
}

Reachability Heartbeat::reachability() const
{
    Reachability result;
    result.sinceAnyHeard = loop_->now() - lastAnyHeard_;
    result.neighbours = gossip_->neighbours().size();
    for (const peers::PeerAddress &neighbour : gossip_->neighbours()) {
        result.neighboursHeard += hears(neighbour.instance) ? 1 : 0;
    }
    const bool hearsMost = !isCutOff(result);
    for (const Vm &vm : members_->peers()) {
        const bool isHeard = hears(vm.instance) || (hearsMost && members_->healthOf(vm.instance) == Health::Alive);
        const bool isInRegion = vm.region == self_.region;
        result.listed++;
        result.heard += isHeard ? 1 : 0;
        result.listedInRegion += isInRegion ? 1 : 0;
        result.heardInRegion += isHeard && isInRegion ? 1 : 0;
    }
    return result;
}

} // namespace cardamomlift::membership
