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

/// Counts of one VM's gossip, for tests and docs/CAPACITY.md.
struct GossipCounters {
    std::uint64_t news = 0; ///< Rumours that were new here.
    std::uint64_t duplicates = 0; ///< Rumours that came again.
    std::uint64_t rejected = 0;
    std::uint64_t pushes = 0; ///< Push messages sent.
    std::uint64_t comparisons = 0; ///< Comparisons started.
    std::uint64_t mismatches = 0; ///< Of these, with different digests.
};

/// Spreads rumours over all entry VMs through a fixed small set of neighbours.
///
/// News is pushed once to each neighbour but the one it came from. Every few seconds the VM compares a digest with one
/// neighbour, which repairs lost pushes and brings a restarted VM up to date. Handlers run on the loop's thread.
class Gossip
{
public:
    using Handler = std::function<void(const Rumour &rumour)>;

    static std::shared_ptr<Gossip> create(EventLoop &loop, std::shared_ptr<peers::PeerTransport> transport);

    /// Sets the neighbours; a first neighbour is compared with at once.
    void setNeighbours(std::vector<peers::PeerAddress> neighbours);
    const std::vector<peers::PeerAddress> &neighbours() const;
    /// Starts the periodic comparison.
    void start();

    /// Spreads a fact for @p ttl. Returns false if this version is known already, or the rumour is refused. Handlers of
    /// the topic are called on this VM too.
    bool publish(const std::string &topic, const std::string &key, std::uint64_t version, std::string payload, Duration ttl);
    /// Calls @p handler for each rumour of @p topic held now, and for each that is news later.
    void onRumour(const std::string &topic, Handler handler);
    /// The highest version held, or null.
    const Rumour *find(const std::string &topic, const std::string &key) const;
    void forEach(const std::string &topic, const Handler &visit) const;
    /// Compares with the next neighbour now.
    void compareNow();
    std::size_t size() const;
    const GossipCounters &counters() const;

private:
    struct PendingRumour {
        Rumour rumour;
        std::string from; ///< The neighbour it came from; empty: this VM.
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
