#pragma once

#include "membership/gossip.h"
#include "membership/health.h"
#include "membership/members.h"
#include "membership/reachability.h"

#include <map>
#include <memory>
#include <string>

namespace cardamomlift::membership {

/// Exchanges heartbeats with the neighbours of the gossip and spreads who is suspected or failed.
///
/// Twice a second one neighbour is called in turn. Without an answer two VMs beside it are asked to call it; only when they
/// get none either does the round count as missed. See health.h for what follows.
class Heartbeat
{
public:
    /// @p self describes this VM to those that don't know it yet.
    static std::shared_ptr<Heartbeat> create(
        EventLoop &loop, std::shared_ptr<peers::PeerTransport> transport, std::shared_ptr<Members> members, std::shared_ptr<Gossip> gossip, Vm self);

    void start();
    /// What this VM can hear now.
    Reachability reachability() const;

private:
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
    std::map<std::string, bool> needsDescription_; ///< Neighbours that don't know this VM.
    std::size_t nextProbeIndex_ = 0;
    TimePoint lastTick_;
    TimePoint lastAnyHeard_;
};

} // namespace cardamomlift::membership
