#include "memberfleet.h"

#include <fmt/format.h>

#include <algorithm>

namespace cardamomlift::membership {

namespace {

constexpr int FailureDomains = 11;
constexpr int Regions = 4;
constexpr Duration Step = std::chrono::milliseconds(500);
constexpr int SettleIterations = 30;

} // namespace

std::vector<Vm> entryVms(int count)
{
    std::vector<Vm> vms;
    for (int i = 0; i < count; i++) {
        Vm vm;
        vm.instance = fmt::format("entry-{}", i);
        vm.zone = fmt::format("zone-{}", i % FailureDomains);
        vm.region = fmt::format("region-{}", i % FailureDomains % Regions);
        vm.address = "10.0.0.1";
        vm.peerPort = 7000;
        vms.push_back(vm);
    }
    return vms;
}

Vm engineVm(const std::string &instance)
{
    Vm vm;
    vm.instance = instance;
    vm.address = "10.0.0.2";
    vm.port = 8000;
    vm.role = VmRole::Model;
    vm.serves = {"proofreader"};
    return vm;
}

MemberFleet::MemberFleet(int count)
    : list(entryVms(count))
{
    loop = std::move(EventLoop::create(clock).value());
    for (const Vm &vm : list) {
        addNode(vm);
    }
    readList();
}

MemberFleet::Node &MemberFleet::addNode(const Vm &vm)
{
    auto node = std::make_unique<Node>();
    node->vm = vm;
    node->transport = peers::LocalTransport::create(*loop, network, vm.instance);
    node->members = Members::create(vm.instance, &clock);
    node->gossip = Gossip::create(*loop, node->transport);
    node->membershipGossip = MembershipGossip::create(*loop, node->members, node->gossip);
    node->heartbeat = Heartbeat::create(*loop, node->transport, node->members, node->gossip, vm);
    node->gossip->start();
    node->heartbeat->start();
    nodes.push_back(std::move(node));
    return *nodes.back();
}

MemberFleet::Node &MemberFleet::addUnlisted(const std::string &instance)
{
    Vm vm = list.front();
    vm.instance = instance;
    Node &node = addNode(vm);
    node.members->applyList(list);
    settle();
    return node;
}

void MemberFleet::readList(const std::vector<Vm> &others)
{
    std::vector<Vm> all = list;
    all.insert(all.end(), others.begin(), others.end());
    for (const auto &node : nodes) {
        node->members->applyList(all);
    }
    settle();
}

void MemberFleet::settle()
{
    for (int i = 0; i < SettleIterations; i++) {
        loop->runDue();
    }
}

void MemberFleet::advance(Duration time)
{
    for (Duration passed{0}; passed < time; passed += Step) {
        clock.advance(Step);
        settle();
    }
}

void MemberFleet::cut(const std::function<bool(const Vm &)> &isInside)
{
    for (const auto &from : nodes) {
        for (const auto &to : nodes) {
            if (isInside(from->vm) != isInside(to->vm)) {
                network->blockedLinks.insert({from->vm.instance, to->vm.instance});
            }
        }
    }
}

void MemberFleet::heal()
{
    network->blockedLinks.clear();
}

std::size_t MemberFleet::count(const std::function<bool(const Node &)> &condition) const
{
    return static_cast<std::size_t>(std::count_if(nodes.begin(), nodes.end(), [&](const auto &node) { return condition(*node); }));
}

std::size_t MemberFleet::countWithHealth(const std::string &instance, Health health) const
{
    return count([&](const Node &node) { return node.vm.instance != instance && node.members->healthOf(instance) == health; });
}

peers::PeerCounters MemberFleet::totalCounters() const
{
    peers::PeerCounters totalCounters;
    for (const auto &node : nodes) {
        const peers::PeerCounters &counters = node->transport->counters();
        totalCounters.callsSent += counters.callsSent;
        totalCounters.callsReceived += counters.callsReceived;
        totalCounters.bytesSent += counters.bytesSent;
        totalCounters.bytesReceived += counters.bytesReceived;
    }
    return totalCounters;
}

} // namespace cardamomlift::membership
