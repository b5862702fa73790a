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

/// What one entry VM has in force, as far as this VM knows.
struct VmRevision {
    std::string instance;
    std::string zone;
    std::uint64_t revision = 0; ///< At least this.
    std::optional<Duration> age; ///< Since its newest heartbeat known here; empty: none.
};

/// What an exchange works with.
struct ExchangeTools {
    EventLoop *loop = nullptr;
    std::shared_ptr<peers::PeerTransport> transport;
    std::shared_ptr<membership::Members> members;
    std::shared_ptr<ContractSet> set;
    std::shared_ptr<ContractSync> sync;
    std::function<bool()> listKnown; ///< The platform's list of VMs was read, or there is none.
};

/// Payload bytes of this exchange, questions and answers.
struct ExchangeCounters {
    std::uint64_t questions = 0; ///< Asked by this VM.
    std::uint64_t bytesSent = 0;
    std::uint64_t bytesReceived = 0;
};

/// Brings accepted edits and heartbeats from other entry VMs: each VM asks a few others in turn, so the cost a VM does not
/// grow with their number.
///
/// A heartbeat is never passed on without the edits that its VM held: whoever has a VM's heartbeat of some instant has
/// every edit that was in force there then.
class ContractExchange
{
public:
    static std::shared_ptr<ContractExchange> create(ExchangeTools tools);

    void start();
    FreshnessInputs freshnessInputs() const;
    FreshnessReason freshness() const;
    /// All live entry VMs of the list, this one first.
    std::vector<VmRevision> vmRevisions() const;
    /// Asks VMs that are not known to have @p revision, a few of them.
    void promptLaggingPeers(std::uint64_t revision);
    const ExchangeCounters &counters() const;

private:
    /// The newest heard of one VM.
    struct Beat {
        std::uint64_t revision = 0;
        std::optional<TimePoint> asOf;
    };
    /// A live entry VM of the list, other than this one.
    struct Peer {
        membership::Vm vm;
        std::uint32_t id = 0;
    };
    ContractExchange() = default;
    void readMembers();
    const Beat *beatOf(const Peer &peer) const;
    std::optional<Duration> tableAge() const;
    bool isEager() const;
    void tick();
    void logFreshness();
    void announce();
    void pullNext(std::size_t count);
    void pull(const membership::Vm &peer, std::uint64_t after);
    void onReply(const membership::Vm &peer, const std::string &payload, TimePoint asked);
    void takeLastPage(const std::string &instance, const wire::PullReply &reply, TimePoint asked);
    std::string answer(const std::string &from, const std::string &payload);
    void addVersions(wire::PullReply &reply, std::uint64_t after) const;
    void addBeats(wire::PullReply &reply, bool all) const;
    void merge(std::uint32_t id, std::uint64_t revision, std::optional<TimePoint> asOf);
    ExchangeTools tools_;
    std::vector<Peer> peers_; ///< In an order of this VM's own.
    std::unordered_map<std::uint32_t, Beat> beats_; ///< By hash of the instance; of other VMs only.
    std::set<std::string> asking_; ///< Peers with a call of ours under way.
    std::size_t turn_ = 0;
    ExchangeCounters counters_;
    TimePoint startedAt_;
    TimePoint eagerUntil_;
    FreshnessReason logged_ = FreshnessReason::NoContracts;
};

} // namespace cardamomlift::contract
