#pragma once

#include "kernel/clock.h"
#include "presence/presencetypes.h"

#include <map>
#include <string>
#include <vector>

namespace cardamomlift::forwarding {

/// What this VM's callers ask of each service, and how late the answers begin: averages over the last seconds.
class ServiceDemand
{
public:
    void noteAsked(const std::string &service, std::int64_t promptTokens, TimePoint now);
    void noteEnded(const std::string &service);
    /// An answer has begun after @p took; @p goal: what its route declares, 0 if nothing.
    void noteFirstByte(const std::string &service, Duration took, Duration goal, TimePoint now);
    std::vector<presence::ServiceLoad> loads(TimePoint now) const;

private:
    struct Entry {
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
