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

/// @p count entry VMs over 11 failure domains of 4 regions.
std::vector<Vm> entryVms(int count);
Vm engineVm(const std::string &instance);

/// The membership of many entry VMs in one process, on one paused clock.
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
    /// A VM that the platform's list does not show yet; it has read the list itself.
    Node &addUnlisted(const std::string &instance);
    /// Gives all VMs the list, with @p others beside the entry VMs.
    void readList(const std::vector<Vm> &others = {});
    /// Delivers all messages under way, without advancing the clock.
    void settle();
    /// Advances the clock in steps of half a second.
    void advance(Duration time);
    /// Loses all messages in both directions between VMs for which @p isInside differs.
    void cut(const std::function<bool(const Vm &vm)> &isInside);
    void heal();
    std::size_t count(const std::function<bool(const Node &node)> &condition) const;
    /// VMs that hold @p health of @p instance, without that VM itself.
    std::size_t countWithHealth(const std::string &instance, Health health) const;
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
