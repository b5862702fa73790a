#include "rollout/trialslice.h"

#include <algorithm>
#include <cmath>

namespace cardamomlift::rollout {

namespace {

/// Much longer than the differences between the VMs' estimates of the store's clock, much shorter than a rollout.
constexpr Duration SliceLength = std::chrono::seconds(1);
/// Requests on trial are accumulated over at most this many slices. A bad version is detected later by as much.
constexpr std::size_t MaxAccumulatedSlices = 2;

} // namespace

TrialSlice trialSlice(Duration storeNow, std::size_t servers, double share)
{
    const double loadedServers = static_cast<double>(servers) * share;
    TrialSlice slice;
    slice.number = static_cast<std::uint64_t>(storeNow / SliceLength);
    slice.servers = std::max<std::size_t>(1, static_cast<std::size_t>(std::lround(loadedServers)));
    const std::size_t slicesPerOpen = loadedServers >= 1 ? 1 : static_cast<std::size_t>(std::lround(1 / std::max(loadedServers, 1.0 / MaxAccumulatedSlices)));
    slice.isOpen = slice.number % slicesPerOpen == 0;
    return slice;
}

} // namespace cardamomlift::rollout
