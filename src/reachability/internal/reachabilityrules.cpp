#include "reachability/reachabilityrules.h"

#include <algorithm>

namespace cardamomlift::reachability {

namespace {

/// Servers that must fail in succession: a failure domain or a service may lose several servers at once.
constexpr std::size_t RequiredFailures = 3;
constexpr std::size_t RequiredWhileRecovering = 2;
constexpr std::size_t RequiredSuccesses = 3;
/// Share of the requests that are sent directly as soon as one server can be reached.
constexpr double FirstShare = 0.1;

} // namespace

bool isCutOff(const Evidence &evidence, State state)
{
    if (evidence.isProbing || evidence.failedServers == 0) {
        return false;
    }
    const std::size_t required = state == State::Recovering ? RequiredWhileRecovering : RequiredFailures;
    return evidence.failedServers >= std::min(required, evidence.listedServers);
}

bool isBack(std::size_t reachedServers, std::size_t listedServers)
{
    return reachedServers > 0 && reachedServers >= std::min(RequiredSuccesses, listedServers);
}

double directShare(Duration sinceRecovery)
{
    const double elapsed = std::chrono::duration<double>(sinceRecovery) / std::chrono::duration<double>(RecoveryTime);
    return std::clamp(FirstShare + elapsed, FirstShare, 1.0);
}

} // namespace cardamomlift::reachability
