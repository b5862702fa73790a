#pragma once

#include "kernel/clock.h"
#include "suspects/suspecttypes.h"

#include <string>

namespace cardamomlift::forwarding {

/// Finds the requests that crash the backend servers that run them, over all entry VMs.
class SuspectGate
{
public:
    virtual ~SuspectGate() = default;
    /// False as long as no request can be restricted; then its fingerprint is not needed.
    virtual bool hasCrashes() const = 0;
    /// How a request may run now.
    virtual suspects::SuspectState stateOf(suspects::Fingerprint fingerprint) = 0;
    /// The connection to a server broke while it ran @p request.
    virtual void noteConnectionBroken(const std::string &instance, const suspects::Progress &request) = 0;
    /// Something was received from the server.
    virtual void noteServerActive(const std::string &instance) = 0;
    /// The answer to a request has progressed; suspects::CompleteAnswer if it is complete.
    virtual void noteProgress(const suspects::Progress &request) = 0;
};

} // namespace cardamomlift::forwarding
