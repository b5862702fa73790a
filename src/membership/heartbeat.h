#pragma once

#include "membership/gossip.h"
#include "membership/health.h"
#include "membership/members.h"
#include "membership/reachability.h"

#include <map>
#include <memory>
#include <string>

namespace cardamomlift::membership {

/// Failure detector in the manner of SWIM: probes the gossip neighbours and publishes which VMs are suspected or failed.
///
/// Twice a second the next neighbour is pinged. If it does not answer in time, two of its own neighbours are asked to ping
/// it; the round counts as missed only if they get no answer either. See health.h for what missed rounds lead to.
class Heartbeat
{
public:
    /// @p self is the description of this VM that is sent to VMs that do not know it yet.
    static std::shared_ptr<Heartbeat> create(
        EventLoop &loop, std::shared_ptr<peers::PeerTransport> transport, std::shared_ptr<Members> members, std::shared_ptr<Gossip> gossip, Vm self);

    void start();
    /// Which entry VMs this VM can hear now.
    Reachability reachability() const;

private:
    /// One probe of a neighbour, direct and indirect; shared by its timers and reply handlers.
    struct Round {
        bool answered = false;
    };
    using RoundPtr = std::shared_ptr<Round>;
    Heartbeat() = default;
    void tick();
    void forgetRemovedVms();
    void probe(const Vm &target);
    void probeIndirectly(const Vm &target, const RoundPtr &round);
    void endRound(const std::string &instance, const RoundPtr &round);
    void updateHealth(const std::string &instance);
    void onHealthRumour(const Rumour &rumour);
    void onPing(const std::string &from, const std::string &payload, const peers::Reply &reply);
    void onRelay(const std::string &payload, const peers::Reply &reply);
    void onAnswer(const std::string &instance);
    bool hasMissedRounds(const std::string &instance) const;
    bool isHeardDirectly(const std::string &instance) const;
    EventLoop *loop_ = nullptr;
    std::shared_ptr<peers::PeerTransport> transport_;
    std::shared_ptr<Members> members_;
    std::shared_ptr<Gossip> gossip_;
    Vm self_;
    std::map<std::string, ProbeRecord> records_;
    std::map<std::string, TimePoint> healthChangedAt_;
    std::map<std::string, bool> needsDescription_; ///< Per neighbour: true if it does not know this VM, by its last reply.
    std::size_t nextProbeIndex_ = 0;
    TimePoint lastTick_;
    TimePoint lastAnyHeard_;
};

} // namespace cardamomlift::membership
