#include "relay/relayrules.h"

#include <xxhash.h>

#include <algorithm>
#include <tuple>

namespace cardamomlift::relay {

namespace {

/// Older contact with a server is no sign that the VM still reaches one.
constexpr Duration MaxContactAge = std::chrono::seconds(3);
/// Open requests by which a VM in another failure domain counts as busier: its traffic is billed.
constexpr double CrossZoneCost = 2;
/// So much lag of a VM's event loop counts as one open request: about the loop's time for one.
constexpr std::chrono::duration<double, std::milli> LagPerRequest(25);
/// A longer lag counts as this one.
constexpr Duration MaxLag = std::chrono::seconds(1);

double lagCost(const RelayCandidate &candidate)
{
    const Duration lag = std::clamp(candidate.loopLag.value_or(Duration(0)), Duration(0), MaxLag);
    return std::chrono::duration<double, std::milli>(lag) / LagPerRequest;
}

auto rankOf(const RelayCandidate &candidate, std::string_view zone, std::uint64_t salt)
{
    const bool isDoubtful = !candidate.sinceServerContact || *candidate.sinceServerContact > MaxContactAge;
    const double load = candidate.openRequests + candidate.openRelays + (candidate.peer.zone == zone ? 0 : CrossZoneCost) + lagCost(candidate);
    const std::string &instance = candidate.peer.instance;
    return std::tuple(isDoubtful, load, XXH3_64bits_withSeed(instance.data(), instance.size(), salt));
}

} // namespace

std::optional<std::size_t> chooseRelay(std::span<const RelayCandidate> candidates, std::string_view zone, std::uint64_t salt)
{
    std::optional<std::size_t> best;
    for (std::size_t i = 0; i < candidates.size(); i++) {
        if (!best || rankOf(candidates[i], zone, salt) < rankOf(candidates[*best], zone, salt)) {
            best = i;
        }
    }
    return best;
}

} // namespace cardamomlift::relay
