#pragma once

#include "contract/contractset.h"
#include "contract/contractsync.h"
#include "contract/freshness.h"
#include "kernel/eventloop.h"
#include "membership/members.h"
#include "peers/peertransport.h"

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace cardamomlift::contract {

namespace wire {
class PullRequest;
class PullReply;
} // namespace wire

/// The contract revision of one entry VM, as far as this VM knows.
struct VmRevision {
    std::string instance;
    std::string zone;
    std::uint64_t revision = 0; ///< A lower bound: the VM may have applied newer edits meanwhile.
    std::optional<Duration> age; ///< Age of its newest heartbeat known here; empty if none is known.
};

/// The dependencies of a ContractExchange.
struct ExchangeTools {
    EventLoop *loop = nullptr;
    std::shared_ptr<peers::PeerTransport> transport;
    std::shared_ptr<membership::Members> members;
    std::shared_ptr<ContractSet> set;
    std::shared_ptr<ContractSync> sync;
    std::function<bool()> listKnown; ///< True once the platform's VM list was read, or if there is no such list.
};

/// Traffic of this exchange; bytes are payload bytes of requests and replies together.
struct ExchangeCounters {
    std::uint64_t pulls = 0; ///< Pull requests sent by this VM.
    std::uint64_t bytesSent = 0;
    std::uint64_t bytesReceived = 0;
};

/// Gossips accepted edits and heartbeats among the entry VMs: each VM pulls from a few peers at a time, in round-robin
/// order, so the cost per VM does not grow with the number of VMs.
///
/// A heartbeat is never forwarded without the edits that its VM held: a VM that knows another VM's heartbeat of some time
/// has applied every edit that was in force on that VM at that time.
class ContractExchange
{
public:
    static std::shared_ptr<ContractExchange> create(ExchangeTools tools);

    void start();
    FreshnessInputs freshnessInputs() const;
    FreshnessReason freshness() const;
    /// All live entry VMs on the VM list, this one first.
    std::vector<VmRevision> vmRevisions() const;
    /// Sends a pull request to a few peers that are not known to have @p revision. The request carries the revision of this
    /// VM; a peer that is behind pulls in return.
    void promptLaggingPeers(std::uint64_t revision);
    const ExchangeCounters &counters() const;

private:
    /// The newest information about one peer.
    struct PeerHeartbeat {
        std::uint64_t revision = 0;
        std::optional<TimePoint> asOf; ///< Time of its newest heartbeat; empty if only its revision is known.
    };
    /// A live entry VM on the VM list, other than this one.
    struct Peer {
        membership::Vm vm;
        std::uint32_t id = 0;
    };
    ContractExchange() = default;
    void updatePeers();
    const PeerHeartbeat *heartbeatOf(const Peer &peer) const;
    std::optional<Duration> tableAge() const;
    bool needsAllHeartbeats() const;
    void tick();
    void logFreshness();
    void onRevisionRaised();
    void pullFromNextPeers(std::size_t count);
    void pull(const membership::Vm &peer, std::uint64_t after);
    void onReply(const membership::Vm &peer, const std::string &payload, TimePoint requestedAt);
    void applyLastPage(const std::string &instance, const wire::PullReply &reply, TimePoint requestedAt);
    std::string answerPull(const std::string &from, const std::string &payload);
    void addVersionsPage(wire::PullReply &reply, std::uint64_t after) const;
    void addHeartbeats(wire::PullReply &reply, bool all) const;
    void recordHeartbeat(std::uint32_t id, std::uint64_t revision, std::optional<TimePoint> asOf);
    ExchangeTools tools_;
    std::vector<Peer> peers_; ///< In a pseudo-random order that differs between VMs.
    std::unordered_map<std::uint32_t, PeerHeartbeat> heartbeats_; ///< By hash of the instance; other VMs only.
    std::set<std::string> pendingPulls_; ///< Instances of the peers with an outstanding pull of this VM.
    std::size_t nextPeer_ = 0;
    ExchangeCounters counters_;
    TimePoint startedAt_;
    TimePoint allHeartbeatsUntil_;
    FreshnessReason loggedFreshness_ = FreshnessReason::NoContracts;
};

} // namespace cardamomlift::contract
