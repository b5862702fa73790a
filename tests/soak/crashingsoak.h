#pragma once

#include <chrono>
#include <random>

namespace cardamomlift::soak {

/// Requests that crash their servers are repeated, while VMs are paused, killed, hung up and cut off from the store in series.
class CrashingSoak
{
public:
    CrashingSoak(unsigned seed, std::chrono::milliseconds length);

    void run();
    /// The same with requests of which no two are alike, but for a part of their prompts that crashes servers, beside sound ones with the other
    /// parts. Servers also end for another reason.
    void runParts();

private:
    const char *anyTarget();

    std::mt19937 random_;
    std::chrono::milliseconds length_;
};

} // namespace cardamomlift::soak
