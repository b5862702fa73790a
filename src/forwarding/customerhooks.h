#pragma once

#include "kernel/clock.h"
#include "manifest/manifesttypes.h"

namespace cardamomlift::forwarding {

/// What a customer's allowance says of one request.
struct AllowanceVerdict {
    bool isAllowed = true;
    Duration retryAfter{0}; ///< When there will be room again.
};

/// Judges requests by the customer's allowance.
class AllowanceGate
{
public:
    virtual ~AllowanceGate() = default;
    virtual AllowanceVerdict take(const manifest::Customer &customer, std::int64_t amount) = 0;
    /// Gives back what was taken for a request that did not run.
    virtual void giveBack(const manifest::Customer &customer, std::int64_t amount) = 0;
};

/// Told when a request has begun to run.
class UsageMeter
{
public:
    virtual ~UsageMeter() = default;
    virtual void noteStarted(const std::string &customer) = 0;
};

} // namespace cardamomlift::forwarding
