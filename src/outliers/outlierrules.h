#pragma once

#include "outliers/outlierstypes.h"

#include <span>

namespace cardamomlift::outliers {

/// Adds the outcome of one request.
void note(OutcomeCounts &outcomes, Ending ending, TimePoint now);
/// Removes all failures from @p outcomes.
void forgetFailures(OutcomeCounts &outcomes);
/// Returns the counts decayed up to @p now.
OutcomeCounts decayedTo(OutcomeCounts outcomes, TimePoint now);
/// Adds up the outcomes of this VM and @p others. Consecutive failures at other VMs count only if no VM has had an answer since:
/// a server that answers any VM is not down. This VM's own always count, since the fault may affect some VMs only.
OutcomeCounts combine(const OutcomeCounts &own, std::span<const OutcomeCounts> others, TimePoint now);
/// Returns the failure rate that is usual for a service; close to zero while it has few outcomes.
double baselineFailureRate(const OutcomeCounts &service);
/// Decides whether new requests should prefer other servers: either the server did not answer several consecutive requests, for
/// a time that grows with their number, or its failure rate is clearly above @p baseline. Both expire, so that the server gets a
/// request from time to time, and a single answer ends the first.
bool isOutlier(const OutcomeCounts &outcomes, double baseline, TimePoint now);
/// Returns whether the outcomes include failures that other VMs should know of.
bool isWorthSharing(const OutcomeCounts &outcomes, TimePoint now);

} // namespace cardamomlift::outliers
