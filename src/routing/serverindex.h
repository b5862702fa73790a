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

/// The state of one server, from the attempts of this VM and from load reports.
struct ServerState {
    std::uint32_t inFlight = 0;
    std::map<std::string, std::uint32_t, std::less<>> inFlightByCustomer; ///< The parts of inFlight.
    double recentStarts = 0; ///< Decaying count, as of recentStartsAt.
    TimePoint recentStartsAt;
    std::optional<LoadReport> report;
    TimePoint reportAt;
    std::uint32_t consecutiveFailures = 0;
    TimePoint avoidUntil;
};

/// The live servers of one model or service.
struct ServerGroup {
    std::vector<membership::Vm> vms;
    std::vector<std::shared_ptr<ServerState>> states; ///< In the order of vms.
    ServerRing ring = ServerRing::create({});
};

/// Live servers grouped by what they serve. Rebuilt only when a property that routing uses has changed.
class ServerIndex
{
public:
    /// Updates the groups from @p members. Costs O(VMs) if nothing has changed.
    void refresh(const membership::Members &members);
    /// Returns the group, or null if no live server has this role and name.
    const ServerGroup *find(membership::VmRole role, std::string_view name) const;
    /// Returns the state of @p instance; creates it if there is none.
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
