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

/// Prompt tokens that the other entry VMs have sent to backend servers and that wait there for prefill, as those VMs
/// reported. Without it, VMs that send few requests themselves choose the same servers at the same moment.
class PeerBacklog
{
public:
    /// Replaces the previous report of @p vm by @p serverWork.
    void update(const std::string &vm, std::span<const presence::ServerWork> serverWork, TimePoint now);
    /// Tokens waiting at the server with the hash @p server, less those that it has likely processed since the reports.
    /// @p prefillTokensPerSecond: the rate of that server; 0 if it is not known.
    std::int64_t waitingTokens(std::uint64_t server, double prefillTokensPerSecond, TimePoint now) const;

private:
    struct Report {
        std::int64_t tokens = 0;
        TimePoint at;
    };
    void dropReport(const std::string &vm);
    std::unordered_map<std::uint64_t, std::map<std::string, Report>> servers_; ///< By server, by VM.
    std::map<std::string, std::vector<std::uint64_t>> serversByVm_; ///< By VM: the servers in its last report.
};

} // namespace cardamomlift::forwarding
