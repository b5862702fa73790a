#include "membership/wirevm.h"

#include "membership/membership.pb.h"

namespace cardamomlift::membership {

void vmToWire(const Vm &vm, wire::Vm &out)
{
    out.set_instance(vm.instance);
    out.set_address(vm.address);
    out.set_port(vm.port);
    out.set_peer_port(vm.peerPort);
    out.set_zone(vm.zone);
    out.set_region(vm.region);
    out.set_role(static_cast<std::uint32_t>(vm.role));
    out.set_machine_class(vm.machineClass);
    out.set_micros_per_hour(vm.microsPerHour);
    out.set_reclaimable(vm.reclaimable);
    out.set_checks_fencing(vm.checksFencing);
    for (const std::string &name : vm.serves) {
        out.add_serves(name);
    }
}

Vm vmFromWire(const wire::Vm &in)
{
    Vm vm;
    vm.instance = in.instance();
    vm.address = in.address();
    vm.port = static_cast<std::uint16_t>(in.port());
    vm.peerPort = static_cast<std::uint16_t>(in.peer_port());
    vm.zone = in.zone();
    vm.region = in.region();
    vm.role = in.role() <= static_cast<std::uint32_t>(VmRole::Service) ? static_cast<VmRole>(in.role()) : VmRole::Entry;
    vm.machineClass = in.machine_class();
    vm.microsPerHour = in.micros_per_hour();
    vm.reclaimable = in.reclaimable();
    vm.checksFencing = in.checks_fencing();
    vm.serves.assign(in.serves().begin(), in.serves().end());
    return vm;
}

} // namespace cardamomlift::membership
