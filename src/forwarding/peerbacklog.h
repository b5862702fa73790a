#pragma once

#include "kernel/clock.h"
#include "presence/presencetypes.h"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace cardamomlift::forwarding {

/// The prompt tokens that the other entry VMs have sent to backend servers and that wait to be read there, as they told.
/// Without it, VMs whose own sends are few choose the same servers in the same moment.
class PeerBacklog
{
public:
    /// @p vm's newest word; it replaces the one before.
    void update(const std::string &vm, std::span<const presence::ServerWork> works, TimePoint now);
    /// What waits at the server with the hash @p server, less what it has likely read since it was told.
    std::int64_t waitingTokens(std::uint64_t server, TimePoint now) const;

private:
    struct Told {
        std::int64_t tokens = 0;
        TimePoint at;
    };
    void drop(const std::string &vm);
    std::unordered_map<std::uint64_t, std::map<std::string, Told>> servers_; ///< By server, by VM.
    std::map<std::string, std::vector<std::uint64_t>> toldBy_; ///< By VM: the servers of its last word.
};

} // namespace cardamomlift::forwarding
