#pragma once

#include "membership/membershiptypes.h"

#include <cstdint>
#include <string>

namespace cardamomlift::routing {

/// What one request asks of routing.
struct RouteQuestion {
    membership::VmRole role = membership::VmRole::Model;
    std::string name; ///< Of the model or service.
    std::string customer;
    std::uint64_t prefixHash = 0; ///< Of the start of the prompt; 0: no affinity.
    std::vector<std::string> exclude; ///< Instances not to choose: already tried, or suspected.
};

/// How one attempt at a backend server ended, as routing needs to know it.
enum class AttemptEnd {
    Answered,
    Refused, ///< Overloaded or leaving: it ran nothing.
    Failed, ///< Broken connection, timeout, server error.
    Cancelled,
};

} // namespace cardamomlift::routing
