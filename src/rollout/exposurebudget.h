#pragma once

#include "rollout/rollouttypes.h"

#include <cstdint>
#include <map>
#include <string>

namespace cardamomlift::rollout {

/// The number of requests that one VM may still send to a version on trial. Each VM may spend a share of the requests that it
/// forwards itself. So the sum over all VMs stays within the limits without any communication between them, also when VMs are
/// partitioned, stopped or added.
class ExposureBudget
{
public:
    /// @p vms: number of VMs that share the slack; 0: this VM gets none of it, since it may have spent it before a restart.
    /// @p randomFraction: uniformly distributed over the VMs between 0 and 1. If the slack is less than one request per VM, it
    /// decides which VMs get a request, so that neither all nor none of them do.
    static ExposureBudget create(const RolloutLimits &limits, std::size_t vms, double randomFraction);

    /// Adds the credit for a request on @p route to a server of the service, of any version.
    void addRequest(std::uint64_t route);
    /// Spends credit for a request that was added. Returns true if the request is to go to the version on trial.
    bool trySpend(std::uint64_t route);
    /// Returns the credit of a request that was not sent to the version on trial after all.
    void refund(std::uint64_t route);

private:
    double creditPerRequest_ = 0;
    double credit_ = 0;
    /// Numbers of requests on one route.
    struct RouteUse {
        std::uint64_t total = 0;
        std::uint64_t onTrial = 0;
    };
    /// Whether the route has had no more than its part of the requests on trial.
    bool isBelowShare(const RouteUse &use) const;
    std::map<std::uint64_t, RouteUse> routes_;
};

} // namespace cardamomlift::rollout
