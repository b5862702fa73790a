#pragma once

#include "kernel/eventloop.h"
#include "prefixindex/prefixindextypes.h"
#include "presence/presencetypes.h"

#include <memory>
#include <span>
#include <unordered_map>
#include <vector>

namespace cardamomlift::prefixindex {

/// Which backend servers are believed to keep which prefixes in their caches: those that were sent a request with the
/// prefix lately, by this VM or, as they told, by the others. A belief that is wrong costs the reading of the prefix.
class PrefixIndex
{
public:
    static std::shared_ptr<PrefixIndex> create(EventLoop &loop);

    /// A request with @p prefixes went to the server @p instance.
    void noteSent(std::span<const Prefix> prefixes, std::string_view instance);
    /// What another VM told.
    void takeTold(std::span<const presence::PrefixUse> uses);
    /// What the other VMs should hear: this VM's newest sends, one line for each server and longest prefix.
    std::vector<presence::PrefixUse> told() const;
    /// The servers that are believed to keep one of @p prefixes (shortest first), in order of their hashes.
    std::vector<PrefixMatch> matches(std::span<const Prefix> prefixes) const;
    /// Forgets what is too old. Call it a few times a second.
    void tick();
    std::size_t size() const;

private:
    explicit PrefixIndex(EventLoop &loop);
    void note(std::uint64_t prefix, std::uint64_t server, TimePoint at);
    struct Sent {
        presence::PrefixUse use;
        TimePoint at;
    };
    EventLoop &loop_;
    std::unordered_map<std::uint64_t, std::vector<CachingServer>> holders_; ///< By the hash of the prefix.
    std::vector<Sent> sent_; ///< By this VM, oldest first.
};

} // namespace cardamomlift::prefixindex
