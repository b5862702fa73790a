#pragma once

#include "kernel/clock.h"

#include <json/json.h>

#include <cstdint>
#include <deque>
#include <string>

namespace cardamomlift::standins {

/// Events of the prefix cache as readers see them: late, and with gaps.
class CacheEvents
{
public:
    CacheEvents(Duration lag, int lossPercent, std::string instance);
    void add(TimePoint now, const char *kind, std::uint64_t prefix, std::int64_t tokens);
    /// {"events":[{"seq","kind":"stored"|"removed","prefix","tokens"}],"last":n}, those after number @p after.
    Json::Value after(TimePoint now, std::uint64_t after) const;

private:
    struct Event {
        std::uint64_t seq = 0;
        TimePoint at{};
        const char *kind = "";
        std::uint64_t prefix = 0;
        std::int64_t tokens = 0;
    };
    bool isLost(std::uint64_t seq) const;
    Duration lag_;
    int lossPercent_;
    std::string instance_;
    std::uint64_t lastSeq_ = 0;
    std::deque<Event> events_;
};

} // namespace cardamomlift::standins
