#pragma once

#include "kernel/clock.h"
#include "presence/presencetypes.h"

#include <map>
#include <string>
#include <vector>

namespace cardamomlift::forwarding {

/// Load that this VM's callers put on each service, and the latency of the answers: moving averages over the last seconds.
class ServiceDemand
{
public:
    void noteRequest(const std::string &service, std::int64_t promptTokens, TimePoint now);
    void noteEnded(const std::string &service);
    /// Notes the time to the first byte of an answer. @p latencyGoal: the latency goal of its route; 0 if it declares none.
    void noteFirstByte(const std::string &service, Duration timeToFirstByte, Duration latencyGoal, TimePoint now);
    std::vector<presence::ServiceLoad> loads(TimePoint now) const;

private:
    struct Entry {
        double requestsPerSecond = 0;
        double tokensPerSecond = 0;
        double answersPerSecond = 0;
        double latenessPerSecond = 0;
        std::uint32_t open = 0;
        TimePoint updatedAt;
    };
    static void decay(Entry &entry, TimePoint now);
    std::map<std::string, Entry> entries_;
};

} // namespace cardamomlift::forwarding
