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

/// A fact that spreads over all entry VMs. Of one topic and key only the highest version counts; whoever makes two
/// payloads of one version must not care which of them a VM keeps.
struct Rumour {
    std::string topic;
    std::string key;
    std::uint64_t version = 0;
    std::string payload;
    WallTime expires; ///< Forgotten everywhere after this.
};

/// Names one rumour and its version in a few bytes.
struct RumourSummary {
    std::uint64_t id = 0; ///< Hash of topic and key.
    std::uint64_t version = 0;
};

/// Bounds of a board, against a peer that offers too much.
struct RumourLimits {
    std::size_t maxRumours = 20000;
    std::size_t maxPayloadBytes = 64 * 1024; ///< Bytes.
};

/// What became of an offered rumour.
enum class OfferOutcome {
    Accepted, ///< Higher than what was held.
    Known, ///< This version, or a higher one, is held already.
    Rejected, ///< Expired, too long, or the board is full.
};

/// The rumours one VM holds. The result does not depend on the order of the offers.
class RumourStore
{
public:
    explicit RumourStore(RumourLimits limits = {});

    OfferOutcome offer(const Rumour &rumour, WallTime now);
    /// The held rumour, or null.
    const Rumour *find(const std::string &topic, const std::string &key) const;
    const Rumour *findById(std::uint64_t id) const;
    /// Calls @p visit for each held rumour of @p topic.
    void forEach(const std::string &topic, const std::function<void(const Rumour &rumour)> &visit) const;
    /// One hash over all rumours that live beyond @p horizon.
    std::uint64_t digest(WallTime horizon) const;
    std::vector<RumourSummary> summaries(WallTime horizon) const;
    void dropExpired(WallTime now);
    std::size_t size() const;

private:
    using StoreKey = std::pair<std::string, std::string>;
    RumourLimits limits_;
    std::map<StoreKey, Rumour> rumours_;
    std::map<std::uint64_t, const Rumour *> byId_;
};

/// The id of a topic and key in summaries.
std::uint64_t rumourId(const std::string &topic, const std::string &key);

/// What two VMs owe each other after comparing summaries.
struct RumourDifference {
    std::vector<std::uint64_t> wanted; ///< The other side's are newer.
    std::vector<std::uint64_t> offered; ///< Ours are newer.
};

RumourDifference compareSummaries(std::span<const RumourSummary> ours, std::span<const RumourSummary> theirs);

} // namespace cardamomlift::membership
