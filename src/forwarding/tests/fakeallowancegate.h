#pragma once

#include "forwarding/customerhooks.h"

namespace cardamomlift::forwarding {

/// AllowanceGate whose decision is set by the test.
class FakeAllowanceGate : public AllowanceGate
{
public:
    AllowanceDecision take(const manifest::Customer &, std::int64_t amount) override
    {
        taken += amount;
        return decision;
    }

    void refund(const manifest::Customer &, std::int64_t amount) override
    {
        taken -= amount;
    }

    AllowanceDecision decision;
    std::int64_t taken = 0;
};

} // namespace cardamomlift::forwarding
