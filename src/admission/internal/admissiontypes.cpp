#include "admission/admissiontypes.h"

namespace cardamomlift::admission {

std::string_view refusalMessage(metrics::RefusalReason reason)
{
    switch (reason) {
    case metrics::RefusalReason::TooManyRequests:
        return "The contract's requestsPerSecond is used up, over all entry VMs.";
    case metrics::RefusalReason::TooManyOpen:
        return "The contract's openRequests are all in use, over all entry VMs.";
    case metrics::RefusalReason::TokenLimit:
        return "The contract's tokensPerMinute leave no room for the prompt and the most output of this request.";
    case metrics::RefusalReason::SpendingBound:
        return "The contract's spending for this UTC day leaves no room for the most that this request may cost.";
    case metrics::RefusalReason::DeadlineImpossible:
        return "There is no room for this request within the time its class may wait.";
    case metrics::RefusalReason::TableDown:
        return "The spending bound can't be checked now; the request was not run.";
    default:
        return "This entry VM has no room for another request.";
    }
}

} // namespace cardamomlift::admission
