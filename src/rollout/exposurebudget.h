#pragma once

#include "rollout/rollouttypes.h"

#include <cstdint>
#include <map>
#include <string>

namespace cardamomlift::rollout {

/// What one VM may still send to a version on trial. Each VM spends a part of the requests that it passes on itself, so the
/// sum over all VMs keeps the bound without a word between them: when VMs are cut off, end or are added.
class ExposureBudget
{
public:
    /// @p vms: how many share the slack; 0: this VM takes no part of it, since it may have spent that before it was restarted.
    /// @p draw: between 0 and 1, evenly over VMs, so that the VMs do not all begin, or all
    /// wait, when the slack is less than one request for each.
    static ExposureBudget create(const RolloutLimits &limits, std::size_t vms, double draw);

    /// A request of @p route goes to a server of the service, of whatever version.
    void addRequest(std::uint64_t route);
    /// Asked for such a request: true if it shall go to the version on trial.
    bool take(std::uint64_t route);
    /// The request did not go there after all.
    void giveBack(std::uint64_t route);

private:
    double perRequest_ = 0;
    double credit_ = 0;
    /// Requests of one route.
    struct RouteUse {
        std::uint64_t seen = 0;
        std::uint64_t taken = 0;
    };
    bool isDue(const RouteUse &use) const;
    std::map<std::uint64_t, RouteUse> routes_;
};

} // namespace cardamomlift::rollout
