#include "rollout/exposurebudget.h"

#include <algorithm>
#include <cmath>

namespace cardamomlift::rollout {

namespace {

/// The usable part of the exposure share. The rest is a margin for requests that this VM counts but that do not reach the
/// service because the caller disconnects or the server does not answer.
constexpr double UsableShare = 0.9;
/// The usable part of the exposure slack. The rest is a margin for VMs that do not yet know the current number of VMs.
constexpr double UsableSlack = 0.8;
/// From this credit on, a request on any route may be spent, whatever the route's part of the trial.
constexpr double AnyRouteCredit = 6;
/// The requests on trial are divided among the routes in proportion to this power of each route's requests. So a version that
/// is bad only on a rarely used route is detected nearly as soon as one that is bad on all routes.
constexpr double RouteWeightExponent = 0.25;
/// Upper limit of the credit, so that a trial resumes at its normal rate after a pause. A VM with 20 requests per second
/// accumulates about this much between two open slices of a trial with few servers.
constexpr double MaxCredit = 8;

} // namespace

ExposureBudget ExposureBudget::create(const RolloutLimits &limits, std::size_t vms, double randomFraction)
{
    ExposureBudget budget;
    budget.creditPerRequest_ = limits.exposureShare * UsableShare;
    const double slack = vms == 0 ? 0 : limits.exposureSlack * UsableSlack / static_cast<double>(vms);
    const double whole = std::floor(slack);
    budget.credit_ = std::min(MaxCredit, whole + (randomFraction < slack - whole ? 1 : 0));
    return budget;
}

void ExposureBudget::addRequest(std::uint64_t route)
{
    credit_ = std::min(MaxCredit, credit_ + creditPerRequest_);
    routes_[route].total++;
}

bool ExposureBudget::isBelowShare(const RouteUse &use) const
{
    double weights = 0;
    std::uint64_t onTrial = 0;
    for (const auto &[route, other] : routes_) {
        weights += std::pow(static_cast<double>(other.total), RouteWeightExponent);
        onTrial += other.onTrial;
    }
    const double share = std::pow(static_cast<double>(use.total), RouteWeightExponent) / std::max(1.0, weights);
    return static_cast<double>(use.onTrial) <= share * static_cast<double>(onTrial);
}

bool ExposureBudget::trySpend(std::uint64_t route)
{
    RouteUse &use = routes_[route];
    const bool maySpend = credit_ >= AnyRouteCredit || (credit_ >= 1 && isBelowShare(use));
    if (!maySpend) {
        return false;
    }
    credit_ -= 1;
    use.onTrial++;
    return true;
}

void ExposureBudget::refund(std::uint64_t route)
{
    credit_ = std::min(MaxCredit, credit_ + 1);
    std::uint64_t &onTrial = routes_[route].onTrial;
    onTrial -= std::min<std::uint64_t>(onTrial, 1);
}

} // namespace cardamomlift::rollout
