#pragma once

#include "membership/members.h"
#include "routing/routingtypes.h"
#include "routing/serverring.h"

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace cardamomlift::routing {

/// What this VM knows of one server from its own attempts and from load reports.
struct ServerState {
    std::uint32_t inFlight = 0;
    std::map<std::string, std::uint32_t, std::less<>> inFlightByCustomer; ///< Part of inFlight.
    double recentStarts = 0; ///< As of recentAt; fades.
    TimePoint recentStartsAt;
    std::optional<LoadReport> report;
    TimePoint reportAt;
    std::uint32_t consecutiveFailures = 0;
    TimePoint avoidUntil;
};

/// The live servers of one model or service.
struct ServerGroup {
    std::vector<membership::Vm> vms;
    std::vector<std::shared_ptr<ServerState>> states; ///< Beside vms.
    ServerRing ring = ServerRing::create({});
};

/// Groups of servers by what they serve, rebuilt only when Members has really changed.
class ServerIndex
{
public:
    /// Takes over what @p members knows now. Costs O(VMs) when nothing has changed.
    void refresh(const membership::Members &members);
    /// The group, or null if no live server has this role and name.
    const ServerGroup *find(membership::VmRole role, std::string_view name) const;
    /// The state of @p instance; made when it is new.
    std::shared_ptr<ServerState> state(const std::string &instance);
    std::uint64_t rebuilds() const;

private:
    using GroupKey = std::pair<membership::VmRole, std::string>;
    void rebuild(const membership::Members &members);
    std::map<GroupKey, ServerGroup> groups_;
    std::map<std::string, std::shared_ptr<ServerState>> states_;
    std::uint64_t signature_ = 0;
    std::uint64_t rebuilds_ = 0;
};

} // namespace cardamomlift::routing
