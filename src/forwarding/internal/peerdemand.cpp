#include "forwarding/peerdemand.h"

#include <algorithm>
#include <cmath>

namespace cardamomlift::forwarding {

namespace {

/// More than this is not believed of one VM or group.
constexpr double MaxRequestsPerSecond = 100'000;
constexpr double MaxTokensPerSecond = 1e9;
constexpr std::uint32_t MaxOpen = 1'000'000;

double plausible(double value, double most)
{
    return std::isfinite(value) && value > 0 ? std::min(value, most) : 0;
}

} // namespace

void PeerDemand::replace(std::span<const presence::ServiceLoad> loads)
{
    services_.clear();
    for (const presence::ServiceLoad &load : loads) {
        presence::ServiceLoad &sum = services_[load.service];
        sum.service = load.service;
        sum.requestsPerSecond += plausible(load.requestsPerSecond, MaxRequestsPerSecond);
        sum.promptTokensPerSecond += plausible(load.promptTokensPerSecond, MaxTokensPerSecond);
        sum.open += std::min(load.open, MaxOpen);
    }
}

presence::ServiceLoad PeerDemand::of(const std::string &service) const
{
    const auto found = services_.find(presence::nameHash(service));
    return found == services_.end() ? presence::ServiceLoad() : found->second;
}

} // namespace cardamomlift::forwarding
