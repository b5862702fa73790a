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

} // namespace cardamomlift::clientbudget
