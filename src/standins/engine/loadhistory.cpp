#include "standins/engine/loadhistory.h"

namespace cardamomlift::standins {

LoadHistory::LoadHistory(Duration lag)
    : lag_(lag)
{
    entries_.push_back({});
}

void LoadHistory::record(TimePoint now, const EngineLoad &load)
{
    entries_.push_back({now, load});
    seen(now);
}

EngineLoad LoadHistory::seen(TimePoint now)
{
    while (entries_.size() > 1 && entries_[1].at + lag_ <= now) {
        entries_.pop_front();
    }
    return entries_.front().load;
}

} // namespace cardamomlift::standins
