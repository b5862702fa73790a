#pragma once

#include "rollout/rolloutoutcomes.h"

#include <span>

namespace cardamomlift::rollout {

/// The result of evaluating a version on trial.
enum class Finding {
    Inconclusive, ///< More answers are needed.
    Good, ///< On each route in use the version is shown not to be much worse than the baseline.
    Bad, ///< On a route, or on all routes together, the version is significantly worse than the baseline.
};

/// A finding and the comparison with the baseline that decided it: of one route, or of all routes together.
struct Verdict {
    Finding finding = Finding::Inconclusive;
    std::uint64_t route = 0; ///< nameHash() of the route; 0: all routes together.
    std::uint64_t trialSends = 0; ///< Requests to servers on trial.
    std::uint64_t trialBad = 0; ///< Those of them that failed or were slow.
    std::uint64_t baselineSends = 0; ///< Requests to servers of the other versions.
    double expectedBad = 0; ///< Bad answers to expect among trialSends if the version is as good as the baseline.
    double score = 0; ///< The log-likelihood ratio that decided.
};

/// Compares the version on trial with the baseline, that is the other versions on the same routes in the same period: errors
/// of the service itself, traffic bursts and zone failures affect both sides. @p all: outcomes since the order. @p recent:
/// outcomes of periods that end now, to detect a version that turns bad during its trial. If several servers are on trial,
/// the one with the most bad answers is left out, because a single bad server does not make a bad version.
Verdict evaluateTrial(const RolloutOutcomes &all, std::span<const RolloutOutcomes> recent);

} // namespace cardamomlift::rollout
