#pragma once

#include "kernel/clock.h"
#include "manifest/manifesttypes.h"

namespace cardamomlift::forwarding {

/// Result of charging one request to a customer's allowance.
struct AllowanceDecision {
    bool isAllowed = true;
    Duration retryAfter{0}; ///< If it was denied: the time until the allowance has room again.
    /// The inputs of the decision, for the log, in the unit of the allowance (requests or tokens).
    std::int64_t requested = 0;
    std::int64_t remaining = 0; ///< Level of the customer's token bucket, as estimated by this VM.
    std::int64_t limitPerSecond = 0;
    std::int64_t localDemandPerSecond = 0; ///< Requested by callers of this VM.
    std::int64_t remoteDemandPerSecond = 0; ///< Requested at the other VMs, as they reported.
};

/// Enforces customers' allowances.
class AllowanceGate
{
public:
    virtual ~AllowanceGate() = default;
    virtual AllowanceDecision take(const manifest::Customer &customer, std::int64_t amount) = 0;
    /// Returns @p amount to the allowance after a request that did not run.
    virtual void refund(const manifest::Customer &customer, std::int64_t amount) = 0;
};

/// Counts the requests that have begun to run, by customer.
class UsageMeter
{
public:
    virtual ~UsageMeter() = default;
    virtual void noteStarted(const std::string &customer) = 0;
};

} // namespace cardamomlift::forwarding
