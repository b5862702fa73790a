#pragma once

#include "overload/overloadtypes.h"

namespace cardamomlift::overload {

/// Returns the pace for a server with @p slots whose requests take @p serviceTime: somewhat less than its slots allow, so that none
/// needs to wait there.
ServerPace initialPace(int slots, Duration serviceTime, TimePoint now);
/// Reduces @p pace to that of a server that has just started, or come back.
void restart(ServerPace &pace);
/// Adds the tokens since the last call, and raises the pace slowly.
void refill(ServerPace &pace, std::size_t vms, TimePoint now);
bool hasToken(const ServerPace &pace, TimePoint now);
void takeToken(ServerPace &pace);
/// How long a VM sends nothing to a server that has refused a request of it: so long that the refusals of all VMs stay within the bound
/// even if each VM gets one after each pause.
Duration pauseAfterRefusal(const RefusalBound &bound);
/// The server has refused a request of this VM.
void noteRefused(ServerPace &pace, const RefusalBound &bound, TimePoint now);
/// The server could not be reached, or has broken a connection.
void noteDown(ServerPace &pace, TimePoint now);

} // namespace cardamomlift::overload
