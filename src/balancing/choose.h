#pragma once

#include "balancing/balancingtypes.h"

#include <optional>
#include <span>

namespace cardamomlift::balancing {

/// The requests that a server is believed to hold now.
double estimatedOpen(const ServerLoad &load, TimePoint now);

/// The index of the server that shall get the request; empty if there is none. Requests of one affinity go to the same
/// few servers on all VMs, without a word between them, unless those hold much more than the others.
std::optional<std::size_t> choose(std::span<const Candidate> candidates, const ChoiceInput &input, TimePoint now);

} // namespace cardamomlift::balancing
