#include "membership/reachability.h"

namespace cardamomlift::membership {

bool isIsolated(const Reachability &reachability)
{
    return reachability.neighbours > 0 && reachability.neighboursHeard == 0;
}

bool isPartitioned(const Reachability &reachability)
{
    return reachability.neighboursHeard * 2 < reachability.neighbours;
}

} // namespace cardamomlift::membership
