#pragma once

#include <span>
#include <string>

namespace cardamomlift::bench {

/// Servers of different paces, and what is sent to them.
struct UnevenScenario {
    std::string name;
    bool hasLongPrompts = false; ///< Prompts of up to 54,600 tokens beside short ones that are due in 400 ms.
    double requestsPerSecond = 0;
};

std::span<const UnevenScenario> unevenScenarios();

/// Prints what each policy gives.
void printUnevenScenario(const UnevenScenario &scenario);

} // namespace cardamomlift::bench
