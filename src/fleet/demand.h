#pragma once

#include "fleet/fleettypes.h"
#include "kernel/clock.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace cardamomlift::fleet {

/// Counts the tokens generated for this VM's callers, by model, since the last report.
class DemandMeter
{
public:
    void add(const std::string &model, std::int64_t tokens, bool isUrgent);
    /// Returns the rates in tokens per second since the last call, and resets the counts.
    std::vector<ModelDemand> take(TimePoint now);

private:
    std::map<std::string, ModelDemand> counts_; ///< Tokens counted so far; not rates yet.
    TimePoint since_;
};

/// Sums up the demand reports of all entry VMs. Used on the VM that holds the fleet lease.
class DemandAggregator
{
public:
    void report(const std::string &instance, std::vector<ModelDemand> demands, TimePoint now);
    /// The sum of the reports not older than @p maxAge; older ones are discarded.
    std::vector<ModelDemand> sum(TimePoint now, Duration maxAge);

private:
    struct Report {
        std::vector<ModelDemand> demands;
        TimePoint at;
    };
    std::map<std::string, Report> reports_;
};

std::string encodeDemands(const std::vector<ModelDemand> &demands);
/// Empty if @p bytes can't be parsed.
std::vector<ModelDemand> decodeDemands(std::string_view bytes);

} // namespace cardamomlift::fleet
