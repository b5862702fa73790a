#pragma once

#include "kernel/clock.h"
#include "manifest/manifesttypes.h"

namespace cardamomlift::forwarding {

/// What a customer's allowance says of one request.
struct AllowanceDecision {
    bool isAllowed = true;
    Duration retryAfter{0}; ///< When there will be room again.
    /// What decided, for the log, in the unit of the allowance.
    std::int64_t requested = 0;
    std::int64_t remaining = 0; ///< In the customer's bucket, as this VM reckons.
    std::int64_t limitPerSecond = 0;
    std::int64_t localDemandPerSecond = 0; ///< By callers of this VM.
    std::int64_t remoteDemandPerSecond = 0; ///< As the other VMs said.
};

/// Judges requests by the customer's allowance.
class AllowanceGate
{
public:
    virtual ~AllowanceGate() = default;
    virtual AllowanceDecision take(const manifest::Customer &customer, std::int64_t amount) = 0;
    /// Gives back what was taken for a request that did not run.
    virtual void refund(const manifest::Customer &customer, std::int64_t amount) = 0;
};

/// Told when a request has begun to run.
class UsageMeter
{
public:
    virtual ~UsageMeter() = default;
    virtual void noteStarted(const std::string &customer) = 0;
};

} // namespace cardamomlift::forwarding
