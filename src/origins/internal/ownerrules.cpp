#include "origins/ownerrules.h"

#include <xxhash.h>

#include <algorithm>

namespace cardamomlift::origins {

namespace {

/// More would send one VM more datagrams than control may cost it.
constexpr std::size_t VmsPerWriter = 32;

struct RankedVm {
    std::uint64_t rank = 0;
    std::size_t index = 0;
};

std::vector<RankedVm> rankVms(StreamId stream, std::span<const OriginVm> vms)
{
    std::vector<RankedVm> ranked;
    ranked.reserve(vms.size());
    for (std::size_t i = 0; i < vms.size(); i++) {
        ranked.push_back({XXH3_64bits_withSeed(vms[i].instance.data(), vms[i].instance.size(), stream), i});
    }
    std::sort(ranked.begin(), ranked.end(), [](const RankedVm &a, const RankedVm &b) { return a.rank > b.rank; });
    return ranked;
}

} // namespace

std::vector<std::size_t> chooseOwners(StreamId stream, std::span<const OriginVm> vms)
{
    const std::vector<RankedVm> ranked = rankVms(stream, vms);
    std::vector<std::size_t> owners;
    const auto isInUsedZone = [&](std::size_t index) {
        return std::any_of(owners.begin(), owners.end(), [&](std::size_t owner) { return vms[owner].zone == vms[index].zone; });
    };
    for (const RankedVm &vm : ranked) {
        if (owners.size() < Owners && !isInUsedZone(vm.index)) {
            owners.push_back(vm.index);
        }
    }
    for (const RankedVm &vm : ranked) {
        if (owners.size() < Owners && std::find(owners.begin(), owners.end(), vm.index) == owners.end()) {
            owners.push_back(vm.index);
        }
    }
    return owners;
}

std::size_t chooseWriter(StreamId stream, std::span<const OriginVm> vms)
{
    const std::size_t writers = (vms.size() + VmsPerWriter - 1) / VmsPerWriter;
    return vms.empty() ? 0 : rankVms(stream % writers, vms).front().index;
}

} // namespace cardamomlift::origins
