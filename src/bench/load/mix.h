#pragma once

#include "bench/load/loadtypes.h"

#include <span>
#include <vector>

namespace cardamomlift::bench {

/// The requests of both users. Shares sum to 1; names of kinds are "<user> <what>".
std::vector<RequestKind> usersMix(double tokenScale);

/// The streams alone, with their shares scaled to sum to 1.
std::vector<RequestKind> streamsOf(std::span<const RequestKind> kinds);

/// Arrivals with exponential gaps until the options' duration; the same for the same seed.
std::vector<Arrival> schedule(std::span<const RequestKind> kinds, const LoadOptions &options);

/// The "messages" of request @p number: a system message shared by a workspace, and a user message of its own.
std::string messagesOf(const RequestKind &kind, std::uint64_t number);

} // namespace cardamomlift::bench
