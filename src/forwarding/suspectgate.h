#pragma once

#include "kernel/clock.h"
#include "suspects/suspecttypes.h"

#include <span>
#include <string>

namespace cardamomlift::forwarding {

/// Finds the requests, and the parts of prompts, that crash the backend servers that run them, over all entry VMs.
class SuspectGate
{
public:
    virtual ~SuspectGate() = default;
    /// False as long as no request can be restricted; then its fingerprint is not needed.
    virtual bool hasCrashes() const = 0;
    /// How a request may run now.
    virtual suspects::Judgement judge(const suspects::RequestTraits &request) = 0;
    /// The connection to a server broke while it ran @p request.
    virtual void noteConnectionBroken(const std::string &instance, const suspects::Progress &request) = 0;
    /// @p request was given up at a server from which nothing came any more, or by its caller: the server may have crashed.
    virtual void noteRunGivenUp(const std::string &instance, const suspects::Progress &request) = 0;
    /// Something was received from the server.
    virtual void noteServerActive(const std::string &instance) = 0;
    /// One server has answered the request from the beginning of its answer to the end: it is not the cause of crashes.
    virtual void noteWholeAnswer(suspects::Fingerprint request) = 0;
    /// A server has answered a request whose prompt has these parts: as a whole, or for suspects::MinTimeOfAnswer with suspects::MinEventsOfAnswer events of a
    /// stream.
    virtual void noteAnswered(std::span<const suspects::PartKey> parts) = 0;
};

} // namespace cardamomlift::forwarding
