#pragma once

#include "membership/gossip.h"
#include "membership/heartbeat.h"
#include "membership/members.h"
#include "membership/membershipgossip.h"
#include "peers/localtransport.h"

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace cardamomlift::membership {

/// @p count entry VMs, spread over 11 failure domains in 4 regions.
std::vector<Vm> entryVms(int count);
/// A live model server.
Vm engineVm(const std::string &instance);

/// The membership modules of many entry VMs in one process, on one manual clock.
class MemberFleet
{
public:
    struct Node {
        Vm vm;
        std::shared_ptr<peers::LocalTransport> transport;
        std::shared_ptr<Members> members;
        std::shared_ptr<Gossip> gossip;
        std::shared_ptr<MembershipGossip> membershipGossip;
        std::shared_ptr<Heartbeat> heartbeat;
    };

    explicit MemberFleet(int count);
    /// Adds an entry VM that has read the platform's list, but that the list does not show yet.
    Node &addUnlisted(const std::string &instance);
    /// Makes all VMs read the list, which shows the entry VMs and @p others.
    void readList(const std::vector<Vm> &others = {});
    /// Delivers all pending messages without advancing the clock.
    void settle();
    /// Advances the clock in steps of half a second, delivering messages after each.
    void advance(Duration time);
    /// Partitions the network: drops all messages, in both directions, between VMs for which @p isInside differs.
    void cut(const std::function<bool(const Vm &vm)> &isInside);
    /// Ends all partitions.
    void heal();
    /// Number of nodes that fulfil @p condition.
    std::size_t count(const std::function<bool(const Node &node)> &condition) const;
    /// Number of VMs, without @p instance itself, for which the health of @p instance is @p health.
    std::size_t countWithHealth(const std::string &instance, Health health) const;
    /// The counters of all transports added up.
    peers::PeerCounters totalCounters() const;

    ManualClock clock;
    std::unique_ptr<EventLoop> loop;
    std::shared_ptr<peers::LocalNetwork> network = std::make_shared<peers::LocalNetwork>();
    std::vector<Vm> list;
    std::vector<std::unique_ptr<Node>> nodes;

private:
    Node &addNode(const Vm &vm);
};

} // namespace cardamomlift::membership
