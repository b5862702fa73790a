#pragma once

#include "stragglers/stragglertypes.h"

#include <cstddef>
#include <optional>
#include <span>

namespace cardamomlift::stragglers {

/// @p events events have come @p pause after the one before them.
void noteEvents(EventGaps &gaps, std::size_t events, Duration pause, Duration goal);

/// @p expected events of the whole stream; 0: not known, then the run counts as half done.
double eventsLeft(double expected, std::uint64_t events);

/// Whether the run falls behind at its server. Needs no look at other servers.
RunNeed needOf(const RunProgress &progress, const StragglerParameters &parameters);

/// Returns the index of the server that a run should move to from one of @p paceHere. Among those that have room and are clearly faster
/// @p salt draws two, and the better one is taken: VMs that know the same don't all move their runs to one server. Empty if there is none.
std::optional<std::size_t> chooseTarget(std::span<const MoveTarget> targets, double paceHere, std::uint64_t salt, const StragglerParameters &parameters);

/// @p target: the result of chooseTarget(); null if there is none.
RunDecision decide(const RunProgress &progress, double paceHere, const MoveTarget *target, const StragglerParameters &parameters);

} // namespace cardamomlift::stragglers
