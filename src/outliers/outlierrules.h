#pragma once

#include "outliers/outlierstypes.h"

#include <span>

namespace cardamomlift::outliers {

/// Counts one request's end.
void note(OutcomeCounts &outcomes, Ending ending, TimePoint now);
/// The decayed counts brought up to @p now.
OutcomeCounts asOf(OutcomeCounts outcomes, TimePoint now);
/// What this VM and @p others have seen together. Failures in a row at other VMs count only if no VM has had an answer
/// since: a server that answers anyone is not down. This VM's own always count, since the fault may be for some VMs only.
OutcomeCounts together(const OutcomeCounts &own, std::span<const OutcomeCounts> others, TimePoint now);
/// The part of requests that usually fails at servers like this one: with few outcomes, near nothing.
double usualFailures(const OutcomeCounts &service);
/// Whether new requests should go elsewhere while they can. Either the server gave no sign of life several times in a
/// row, for a time that grows with them; or it fails clearly more often than @p usual. All of it fades, so that a server
/// gets a request again now and then, and one good answer ends the first kind.
bool isOutlier(const OutcomeCounts &outcomes, double usual, TimePoint now);
/// Whether there is anything that other VMs should hear.
bool isWorthTelling(const OutcomeCounts &outcomes, TimePoint now);

} // namespace cardamomlift::outliers
