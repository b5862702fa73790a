#pragma once

#include "kernel/clock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace cardamomlift::membership {

/// A versioned fact that is disseminated to all entry VMs. Only the highest version of a topic and key is kept. If two
/// payloads are published with the same version, each VM keeps the one it received first, so VMs may hold different ones;
/// a publisher must accept either.
struct Rumour {
    std::string topic;
    std::string key;
    std::uint64_t version = 0;
    std::string payload;
    WallTime expires; ///< Every VM drops the rumour after this time.
};

/// Identifies one rumour and its version in a few bytes.
struct RumourSummary {
    std::uint64_t id = 0; ///< Hash of topic and key.
    std::uint64_t version = 0;
};

/// Bounds of a RumourStore, as protection against a peer that sends too much.
struct RumourLimits {
    std::size_t maxRumours = 20000;
    std::size_t maxPayloadBytes = 64 * 1024; ///< Bytes.
};

/// The result of RumourStore::offer().
enum class OfferOutcome {
    Accepted, ///< Stored: nothing, or only a lower version, was held.
    Known, ///< This version, or a higher one, is held already.
    Rejected, ///< Expired, too long, or the store is full.
};

/// The rumours one VM holds. The versions it ends up with do not depend on the order in which rumours are offered.
class RumourStore
{
public:
    explicit RumourStore(RumourLimits limits = {});

    OfferOutcome offer(const Rumour &rumour, WallTime now);
    /// The rumour held for this topic and key, or null.
    const Rumour *find(const std::string &topic, const std::string &key) const;
    const Rumour *findById(std::uint64_t id) const;
    /// Calls @p visit for each held rumour of @p topic.
    void forEach(const std::string &topic, const std::function<void(const Rumour &rumour)> &visit) const;
    /// One hash over the ids and versions of all rumours that expire after @p horizon.
    std::uint64_t digest(WallTime horizon) const;
    /// The summaries of all rumours that expire after @p horizon.
    std::vector<RumourSummary> summaries(WallTime horizon) const;
    void dropExpired(WallTime now);
    std::size_t size() const;

private:
    using StoreKey = std::pair<std::string, std::string>;
    RumourLimits limits_;
    std::map<StoreKey, Rumour> rumours_;
    std::map<std::uint64_t, const Rumour *> byId_;
};

/// Hash of a topic and key, used as RumourSummary::id.
std::uint64_t rumourId(const std::string &topic, const std::string &key);

/// The ids of rumours that two VMs hold in different versions, or that only one of them holds.
struct RumourDifference {
    std::vector<std::uint64_t> wanted; ///< To request: the other side holds a newer version, or is the only one to hold the rumour.
    std::vector<std::uint64_t> offered; ///< To send: this side holds a newer version, or is the only one to hold the rumour.
};

RumourDifference compareSummaries(std::span<const RumourSummary> ours, std::span<const RumourSummary> theirs);

} // namespace cardamomlift::membership
