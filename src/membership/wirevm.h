#pragma once

#include "membership/membershiptypes.h"

namespace cardamomlift::membership {

namespace wire {
class Vm;
}

/// Fills @p out with what another VM needs to know of @p vm.
void vmToWire(const Vm &vm, wire::Vm &out);
/// A live VM; its role is Entry if the number is unknown.
Vm vmFromWire(const wire::Vm &in);

} // namespace cardamomlift::membership
