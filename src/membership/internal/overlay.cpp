#include "membership/overlay.h"

#include "text/digest.h"

#include <algorithm>
#include <utility>

namespace cardamomlift::membership {

namespace {

constexpr std::size_t RingCount = MaxNeighbours / 2;

using RingPosition = std::pair<std::uint64_t, const Vm *>;

bool isBefore(const RingPosition &a, const RingPosition &b)
{
    return a.first != b.first ? a.first < b.first : a.second->instance < b.second->instance;
}

void addUnique(std::vector<std::string> &list, const std::string &instance)
{
    if (std::find(list.begin(), list.end(), instance) == list.end()) {
        list.push_back(instance);
    }
}

/// All other VMs, if there are at most MaxNeighbours; else nothing.
std::vector<std::string> othersIfFew(std::span<const Vm> entries, const std::string &self)
{
    std::vector<std::string> others;
    for (const Vm &vm : entries) {
        if (vm.instance == self || vm.state == VmState::Gone) {
            continue;
        }
        if (others.size() == MaxNeighbours) {
            return {};
        }
        others.push_back(vm.instance);
    }
    return others;
}

/// The predecessor and successor of @p self on the ring with salt @p ring; null if there is no other VM.
std::pair<const Vm *, const Vm *> adjacentOnRing(std::span<const Vm> entries, const std::string &self, std::uint64_t ring)
{
    const Vm own{self};
    const RingPosition position{text::stableHash(self, ring), &own};
    RingPosition first{}, last{}, before{}, after{};
    for (const Vm &vm : entries) {
        if (vm.instance == self || vm.state == VmState::Gone) {
            continue;
        }
        const RingPosition other{text::stableHash(vm.instance, ring), &vm};
        first = !first.second || isBefore(other, first) ? other : first;
        last = !last.second || isBefore(last, other) ? other : last;
        if (isBefore(other, position)) {
            before = !before.second || isBefore(before, other) ? other : before;
        } else {
            after = !after.second || isBefore(other, after) ? other : after;
        }
    }
    return {before.second ? before.second : last.second, after.second ? after.second : first.second};
}

} // namespace

std::vector<std::string> chooseNeighbours(std::span<const Vm> entries, const std::string &self)
{
    std::vector<std::string> result = othersIfFew(entries, self);
    if (!result.empty()) {
        return result;
    }
    for (std::uint64_t ring = 0; ring < RingCount; ring++) {
        const auto [before, after] = adjacentOnRing(entries, self, ring);
        if (!before) {
            return result;
        }
        addUnique(result, before->instance);
        addUnique(result, after->instance);
    }
    return result;
}

} // namespace cardamomlift::membership
