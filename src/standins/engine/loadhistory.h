#pragma once

#include "standins/engine/enginetypes.h"

#include <deque>

namespace cardamomlift::standins {

/// The load as it was a while ago.
class LoadHistory
{
public:
    explicit LoadHistory(Duration lag);
    void record(TimePoint now, const EngineLoad &load);
    EngineLoad seen(TimePoint now);

private:
    struct Entry {
        TimePoint at{};
        EngineLoad load;
    };
    Duration lag_;
    std::deque<Entry> entries_; ///< The last one older than the lag comes first.
};

} // namespace cardamomlift::standins
