#pragma once

#include "kernel/clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>

namespace cardamomlift::forwarding {

/// How much of each service's requests at this VM share a part of their prompts: moving averages over the last seconds.
class PartDemand
{
public:
    /// @p part: the affinity of the request; empty if it shares nothing.
    void noteRequest(const std::string &service, std::string_view part, TimePoint now);
    /// The fraction of the service's requests that have @p part. 0 while too few have been seen to tell.
    double share(const std::string &service, std::string_view part, TimePoint now) const;

private:
    struct Count {
        double requests = 0; ///< Decays.
        TimePoint updatedAt;
    };
    struct Service {
        Count all;
        std::unordered_map<std::uint64_t, Count> parts; ///< By hash of the part.
    };
    static double current(const Count &count, TimePoint now);
    static void increment(Count &count, TimePoint now);
    static void dropRarest(Service &service, TimePoint now);
    std::map<std::string, Service> services_;
};

} // namespace cardamomlift::forwarding
