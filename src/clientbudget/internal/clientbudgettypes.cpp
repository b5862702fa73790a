#include "clientbudget/clientbudgettypes.h"

namespace cardamomlift::clientbudget {

std::string_view activityName(Activity activity)
{
    switch (activity) {
    case Activity::Waiting:
        return "waiting";
    case Activity::Receiving:
        return "receiving";
    case Activity::Serving:
        return "serving";
    case Activity::Sending:
        return "sending";
    }
    return "unknown";
}

std::string_view shortageName(Shortage shortage)
{
    return shortage == Shortage::Memory ? "memory" : "descriptors";
}

} // namespace cardamomlift::clientbudget
