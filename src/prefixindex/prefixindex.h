#pragma once

#include "kernel/eventloop.h"
#include "prefixindex/prefixindextypes.h"
#include "presence/presencetypes.h"

#include <memory>
#include <span>
#include <unordered_map>
#include <vector>

namespace cardamomlift::prefixindex {

/// Predicts which backend servers have which prompt prefixes in their KV caches: those that this VM or, according to their
/// statuses, other VMs have recently sent a request with the prefix. A wrong prediction costs the prefill of the prefix.
class PrefixIndex
{
public:
    static std::shared_ptr<PrefixIndex> create(EventLoop &loop);

    /// Records that a request with @p prefixes was sent to the server @p instance.
    void noteSent(std::span<const Prefix> prefixes, std::string_view instance);
    /// Adds the uses in another VM's status.
    void applyPeerUses(std::span<const presence::PrefixUse> uses);
    /// Returns this VM's latest sends, for its next status: one entry for each prefix of a request, with the server.
    std::vector<presence::PrefixUse> usesToShare() const;
    /// Returns the servers that are expected to cache one of @p prefixes (shortest first), sorted by their hashes.
    std::vector<PrefixMatch> matches(std::span<const Prefix> prefixes) const;
    /// Removes expired entries. To be called a few times a second.
    void tick();
    std::size_t size() const;

private:
    explicit PrefixIndex(EventLoop &loop);
    /// Notes a use now. Null if there is no room for another prefix.
    CachingServer *noteUse(std::uint64_t prefix, std::uint64_t server);
    struct Sent {
        presence::PrefixUse use;
        TimePoint at;
    };
    EventLoop &loop_;
    std::unordered_map<std::uint64_t, std::vector<CachingServer>> cachingServers_; ///< Keyed by the hash of the prefix.
    std::vector<Sent> sent_; ///< This VM's latest sends, oldest first.
};

} // namespace cardamomlift::prefixindex
