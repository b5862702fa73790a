#include "admission/admissiontypes.h"

namespace cardamomlift::admission {

std::string_view refusalMessage(metrics::RefusalReason reason)
{
    switch (reason) {
    case metrics::RefusalReason::TooManyRequests:
        return "The contract's requestsPerSecond is used up across all entry VMs.";
    case metrics::RefusalReason::TooManyOpen:
        return "The contract's openRequests are all in use across all entry VMs.";
    case metrics::RefusalReason::TokenLimit:
        return "The contract's tokensPerMinute leave no room for the prompt and the maximum output of this request.";
    case metrics::RefusalReason::SpendingBound:
        return "The contract's spending for this UTC day leaves no room for the maximum cost of this request.";
    case metrics::RefusalReason::DeadlineImpossible:
        return "There is no capacity for this request within the time that its class may wait.";
    case metrics::RefusalReason::TableDown:
        return "The spending bound can't be checked now; the request did not run.";
    default:
        return "This entry VM has no capacity for another request.";
    }
}

} // namespace cardamomlift::admission
