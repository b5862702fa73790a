#pragma once

#include "fleet/fleettypes.h"
#include "kernel/clock.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace cardamomlift::fleet {

/// Counts the tokens this VM's callers were given, by model, over the time since the last report.
class DemandMeter
{
public:
    void add(const std::string &model, std::int64_t tokens, bool isUrgent);
    /// Tokens per second since the last call; starts counting anew.
    std::vector<ModelDemand> take(TimePoint now);

private:
    std::map<std::string, ModelDemand> counts_;
    TimePoint since_;
};

/// The reports of all entry VMs, as the VM that orders backend VMs holds them.
class DemandBoard
{
public:
    void report(const std::string &instance, std::vector<ModelDemand> demands, TimePoint now);
    /// The sum of the reports not older than @p maxAge; older ones are forgotten.
    std::vector<ModelDemand> sum(TimePoint now, Duration maxAge);

private:
    struct Report {
        std::vector<ModelDemand> demands;
        TimePoint at;
    };
    std::map<std::string, Report> reports_;
};

std::string encodeDemands(const std::vector<ModelDemand> &demands);
/// Empty if the bytes can't be read.
std::vector<ModelDemand> decodeDemands(std::string_view bytes);

} // namespace cardamomlift::fleet
