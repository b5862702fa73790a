#pragma once

#include "contract/contractset.h"
#include "kernel/clock.h"
#include "metrics/reasons.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace cardamomlift::admission {

/// One request that asks to be let in.
struct AdmissionParameters {
    std::shared_ptr<const contract::ContractInForce> contract;
    contract::ServiceClass serviceClass;
    std::string target; ///< Model or service name.
    bool isModel = true;
    std::int64_t estimatedTokens = 0; ///< Prompt plus the most output; what is reserved of tokensPerMinute.
    /// What the request can't pass, for the spending bound: no tokenizer makes more tokens of a text than it has bytes.
    std::int64_t maxPromptTokens = 0;
    std::int64_t maxOutputTokens = 0;
};

/// What a request used, told when it ends.
struct Usage {
    std::int64_t promptTokens = 0;
    std::int64_t outputTokens = 0;
    bool ran = false; ///< False: nothing is charged.
    bool continuesOnPeer = false; ///< Another VM drives the request now: charged at its worst case.
};

/// Whether a request comes in, and if not, why.
struct AdmissionDecision {
    bool admitted = false;
    metrics::RefusalReason reason = metrics::RefusalReason::Overloaded;
    Duration retryAfter{0}; ///< When to come back; 0: a repeat does not help.
    std::uint64_t ticket = 0; ///< To be given back by release().
};

/// What a refused caller is told: what was passed, and whose it is.
std::string_view refusalMessage(metrics::RefusalReason reason);

} // namespace cardamomlift::admission
