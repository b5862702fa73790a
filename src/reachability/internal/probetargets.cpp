#include "reachability/probetargets.h"

namespace cardamomlift::reachability {

std::vector<ProbeTarget> probeTargets(const directory::Directory &directory)
{
    std::vector<ProbeTarget> targets;
    for (const auto &[instance, known] : directory.all()) {
        if (!known->isLeaving) {
            targets.push_back({instance, known->server.service, known->server.zone, known->server.endpoint});
        }
    }
    return targets;
}

std::vector<ProbeTarget> probeTargets(const membership::Members &members)
{
    std::vector<ProbeTarget> targets;
    for (const auto &[instance, vm] : members.all()) {
        const bool isServer = vm.role != membership::VmRole::Entry && vm.state == membership::VmState::Live;
        if (isServer && !members.isLeaving(instance)) {
            targets.push_back({instance, vm.serves.empty() ? std::string() : vm.serves.front(), vm.zone, {vm.address, vm.port}});
        }
    }
    return targets;
}

} // namespace cardamomlift::reachability
