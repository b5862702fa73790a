#pragma once

#include "rollout/rolloutoutcomes.h"

#include <span>

namespace cardamomlift::rollout {

/// What the evidence says of a version on trial.
enum class Finding {
    Inconclusive,
    Good, ///< Each route in use has shown that it is not much worse there.
    Bad,
};

/// The finding, and the route or sum of routes that decided it.
struct Verdict {
    Finding finding = Finding::Inconclusive;
    std::uint64_t route = 0; ///< 0: all routes together.
    std::uint64_t trialSends = 0;
    std::uint64_t trialBad = 0; ///< Failed or slow.
    std::uint64_t baselineSends = 0;
    double expectedBad = 0; ///< Of trialSends, if the version is as good as the others.
    double score = 0; ///< Log likelihood ratio that decided.
};

/// Judges the version on trial by what came to the same routes at the other versions in the same time: errors of the service
/// itself, bursts and lost zones are on both sides. @p all: since the order; @p recent: spans that end now, for a version that
/// turned bad in the midst of it. The server on trial with most bad answers is left out where there are others: one bad server
/// is not a bad version.
Verdict evaluateTrial(const RolloutOutcomes &all, std::span<const RolloutOutcomes> recent);

} // namespace cardamomlift::rollout
