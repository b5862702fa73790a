#pragma once

#include "contract/contracttypes.h"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>

namespace cardamomlift::bench {

/// One class of a user's requests.
struct TrafficClass {
    contract::ServiceClass serviceClass;
    double share = 0; ///< Of all requests.
    std::int64_t tokens = 0;
};

/// A mix of traffic classes.
struct Mix {
    std::string_view name;
    std::span<const TrafficClass> classes;
};

/// Who decides which requests come in.
enum class Strategy {
    Ours, ///< The daemon's admission.
    Fifo, ///< One queue, a fixed bound at what the server takes at full speed, no refusal.
    Open, ///< All come in at once.
};

std::string_view strategyName(Strategy strategy);

/// What became of the requests of one class.
struct ClassResult {
    int asked = 0;
    int onTime = 0; ///< First token and time between tokens within the targets; a deferrable one may wait before.
    int late = 0;
    std::map<std::string, int> refused; ///< By reason.
};

/// What a run gave, by class.
struct OverloadResult {
    std::map<std::string, ClassResult> classes;
    std::int64_t usefulTokens = 0; ///< Of requests that were on time.
};

/// Two minutes of arrivals of @p mix at @p load times what one server can do.
OverloadResult runOverload(const Mix &mix, Strategy strategy, double load);

std::span<const Mix> usersMixes();

} // namespace cardamomlift::bench
