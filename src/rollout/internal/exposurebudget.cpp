#include "rollout/exposurebudget.h"

#include <algorithm>
#include <cmath>

namespace cardamomlift::rollout {

namespace {

/// The part of the share that a trial spends. The rest covers requests that this VM counts and that do not reach the
/// service: callers that leave, servers that do not answer.
constexpr double SpentShare = 0.9;
/// The part of the slack that a trial spends. The rest covers VMs that do not yet know how many they are.
constexpr double SpentSlack = 0.8;
/// With so much credit any route will do.
constexpr double AnyRoute = 6;
/// Routes share a trial by this power of their requests: a version that is bad on a rarely used route shows nearly as soon as
/// one that is bad on all.
constexpr double RoutePower = 0.25;
/// No more is saved up: a trial that was paused goes on at its pace. A VM with 20 requests a second saves as much between two
/// open slices of a trial with few servers.
constexpr double MostCredit = 8;

} // namespace

ExposureBudget ExposureBudget::create(const RolloutLimits &limits, std::size_t vms, double draw)
{
    ExposureBudget budget;
    budget.perRequest_ = limits.exposureShare * SpentShare;
    const double slack = vms == 0 ? 0 : limits.exposureSlack * SpentSlack / static_cast<double>(vms);
    const double whole = std::floor(slack);
    budget.credit_ = std::min(MostCredit, whole + (draw < slack - whole ? 1 : 0));
    return budget;
}

void ExposureBudget::addRequest(std::uint64_t route)
{
    credit_ = std::min(MostCredit, credit_ + perRequest_);
    routes_[route].seen++;
}

// Whether the route has had less than its part of the trial.
bool ExposureBudget::isDue(const RouteUse &use) const
{
    double weights = 0;
    std::uint64_t taken = 0;
    for (const auto &[route, other] : routes_) {
        weights += std::pow(static_cast<double>(other.seen), RoutePower);
        taken += other.taken;
    }
    const double part = std::pow(static_cast<double>(use.seen), RoutePower) / std::max(1.0, weights);
    return static_cast<double>(use.taken) <= part * static_cast<double>(taken);
}

bool ExposureBudget::take(std::uint64_t route)
{
    RouteUse &use = routes_[route];
    const bool mayTake = credit_ >= AnyRoute || (credit_ >= 1 && isDue(use));
    if (!mayTake) {
        return false;
    }
    credit_ -= 1;
    use.taken++;
    return true;
}

void ExposureBudget::giveBack(std::uint64_t route)
{
    credit_ = std::min(MostCredit, credit_ + 1);
    std::uint64_t &taken = routes_[route].taken;
    taken -= std::min<std::uint64_t>(taken, 1);
}

} // namespace cardamomlift::rollout
