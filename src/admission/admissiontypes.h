#pragma once

#include "contract/contractset.h"
#include "kernel/clock.h"
#include "metrics/reasons.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace cardamomlift::admission {

/// What admission needs to know of one request.
struct AdmissionParameters {
    std::shared_ptr<const contract::ContractInForce> contract;
    contract::ServiceClass serviceClass;
    std::string target; ///< Name of the model or service.
    bool isModel = true;
    std::int64_t estimatedTokens = 0; ///< Estimated prompt plus the maximum output; reserved from tokensPerMinute.
    /// Upper bounds for the spending bound. For the prompt its size in bytes: no tokenizer makes more tokens of a text.
    std::int64_t maxPromptTokens = 0;
    std::int64_t maxOutputTokens = 0;
};

/// What a request used, reported when it ends.
struct Usage {
    std::int64_t promptTokens = 0;
    std::int64_t outputTokens = 0;
    bool ran = false; ///< False: the request did not run and nothing is charged.
    bool continuesOnPeer = false; ///< Another VM took the request over: charged its maximum.
};

/// Whether a request is admitted, and if not, why.
struct AdmissionDecision {
    bool admitted = false;
    metrics::RefusalReason reason = metrics::RefusalReason::Overloaded;
    Duration retryAfter{0}; ///< 0: retrying does not help.
    std::uint64_t ticket = 0; ///< To be passed to Admission::release().
};

/// Returns the message for the caller of a refused request: which limit was exceeded, and whose limit it is.
std::string_view refusalMessage(metrics::RefusalReason reason);

} // namespace cardamomlift::admission
