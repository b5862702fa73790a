#pragma once

#include <cstdint>
#include <string_view>

namespace cardamomlift::bench {

enum class Sharing {
    Ours, ///< A grantor hands out what VMs need.
    StaticSplit, ///< Each VM may use an even part of the limit.
    Unshared, ///< Each VM may use the whole limit.
};

std::string_view sharingName(Sharing sharing);

struct LimitsResult {
    int asked = 0;
    int admitted = 0;
    double allowed = 0; ///< The limit over the time of the run, and one second's burst.
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
};

/// A minute of one customer that sends @p load times its limit through a balancer that gives 70% to one of eight VMs.
LimitsResult runLimits(Sharing sharing, double load);

} // namespace cardamomlift::bench
