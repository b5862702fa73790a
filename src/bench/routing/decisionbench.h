#pragma once

#include "bench/routing/enginemodel.h"

#include <string>
#include <vector>

namespace cardamomlift::bench {

enum class Policy { RoundRobin, LeastInFlight, RandomOfTwo, Ours };

/// What a run of the decision bench is about.
struct Scenario {
    std::string name;
    std::size_t entries = 8;
    std::size_t engines = 12;
    std::size_t prefixes = 40;
    double requestsPerSecond = 48;
    double seconds = 120;
    double waveAtSecond = 80; ///< A zone's engines die; the list shows it late.
    unsigned seed = 1;
};

/// What one policy gave in a scenario.
struct Outcome {
    double p50Ms = 0; ///< First token, all classes.
    double p95Ms = 0;
    double urgentP95Ms = 0;
    double urgentOnTime = 0; ///< Share with the first token within 0.76 s.
    double recomputedTokens = 0; ///< Prefix tokens computed though some engine had computed them before.
    double cost = 0; ///< Price-weighted compute time per million tokens, in the cheapest engine's hours.
    double maxToMeanLoad = 0; ///< Of running requests over the engines, mean over samples.
    double attemptsPerRequest = 0;
    std::size_t lost = 0;
};

std::string policyName(Policy policy);
Outcome runScenario(const Scenario &scenario, Policy policy);

} // namespace cardamomlift::bench
