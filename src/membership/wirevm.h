#pragma once

#include "membership/membershiptypes.h"

namespace cardamomlift::membership {

namespace wire {
class Vm;
}

/// Fills @p out with the description of @p vm for other VMs. The state is not part of it.
void vmToWire(const Vm &vm, wire::Vm &out);
/// Converts a description back. The VM's state is Live; its role is Entry if the received value is unknown.
Vm vmFromWire(const wire::Vm &in);

} // namespace cardamomlift::membership
