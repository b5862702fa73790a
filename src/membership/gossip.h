#pragma once

#include "kernel/eventloop.h"
#include "membership/rumourstore.h"
#include "peers/peertransport.h"

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace cardamomlift::membership {

/// Gossip counters of one VM, for tests and docs/CAPACITY.md.
struct GossipCounters {
    std::uint64_t accepted = 0; ///< Rumours that were new to this VM.
    std::uint64_t duplicates = 0; ///< Rumours that were held already, in the same or a higher version.
    std::uint64_t rejected = 0; ///< Rumours that were expired, too long, or did not fit into the store.
    std::uint64_t pushes = 0; ///< Push messages sent.
    std::uint64_t comparisons = 0; ///< Digest comparisons started.
    std::uint64_t mismatches = 0; ///< Comparisons in which the digests differed.
};

/// Disseminates rumours to all entry VMs through a small, bounded set of neighbours.
///
/// A new rumour is pushed once to each neighbour except the one it came from. Every few seconds the VM compares digests
/// with one neighbour (anti-entropy); this repairs lost pushes and brings a restarted VM up to date. Handlers run on the
/// event loop's thread.
class Gossip
{
public:
    using Handler = std::function<void(const Rumour &rumour)>;

    static std::shared_ptr<Gossip> create(EventLoop &loop, std::shared_ptr<peers::PeerTransport> transport);

    /// Replaces the neighbours. If there were none before, starts a comparison at once.
    void setNeighbours(std::vector<peers::PeerAddress> neighbours);
    const std::vector<peers::PeerAddress> &neighbours() const;
    /// Starts the periodic comparison and the removal of expired rumours.
    void start();

    /// Publishes a rumour to all entry VMs for @p ttl. Handlers of the topic are called on this VM too. Returns false if this
    /// or a higher version is held already, or if the rumour is rejected.
    bool publish(const std::string &topic, const std::string &key, std::uint64_t version, std::string payload, Duration ttl);
    /// Calls @p handler for each rumour of @p topic held now, and later for each new one.
    void onRumour(const std::string &topic, Handler handler);
    /// The rumour held for this topic and key, or null.
    const Rumour *find(const std::string &topic, const std::string &key) const;
    void forEach(const std::string &topic, const Handler &visit) const;
    /// Starts a digest comparison with the next neighbour, unless one is in progress.
    void compareNow();
    std::size_t size() const;
    const GossipCounters &counters() const;

private:
    struct PendingRumour {
        Rumour rumour;
        std::string from; ///< The neighbour it came from; empty if it was published on this VM.
    };
    Gossip() = default;
    bool accept(const Rumour &rumour, const std::string &from);
    void sendPending();
    void onPush(const std::string &from, const std::string &payload);
    std::string answerCompare(const std::string &payload);
    std::string answerExchange(const std::string &from, const std::string &payload);
    void onCompareReply(const peers::PeerAddress &peer, WallTime horizon, const std::string &payload);
    EventLoop *loop_ = nullptr;
    std::shared_ptr<peers::PeerTransport> transport_;
    RumourStore store_;
    std::vector<peers::PeerAddress> neighbours_;
    std::unordered_map<std::string, std::vector<Handler>> handlers_;
    std::vector<PendingRumour> pending_;
    std::size_t nextCompareIndex_ = 0;
    bool isComparing_ = false;
    GossipCounters counters_;
};

} // namespace cardamomlift::membership
