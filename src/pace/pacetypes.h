#pragma once

#include "kernel/clock.h"

#include <cstddef>
#include <optional>

namespace cardamomlift::pace {

/// Work that was observed: its time and its amount, both decayed with age.
struct WorkSums {
    double seconds = 0;
    double usualSeconds = 0; ///< The time that the work would have taken had the server been as usual, by what it announced meanwhile.
    double units = 0; ///< Events of streams after the first, and plain answers.
};

/// Sums for a linear regression of the time to the first byte, in seconds, on the prompt tokens to prefill; decayed with age.
struct FirstByteSums {
    double count = 0;
    double tokens = 0;
    double seconds = 0;
    double tokensSquared = 0;
    double tokensSeconds = 0;
};

/// The usual time to the first byte of a service's answers, over all its servers: @c base plus the time to prefill the prompt.
struct FirstByteModel {
    Duration base{0};
    double tokensPerSecond = 0; ///< Prompt tokens that one server prefills per second.
};

/// How long work takes at one server, relative to the mean of its service: 1 as long, 2 twice as long.
struct PaceEstimate {
    double factor = 1; ///< Learnt and announced pace together.
    double learnt = 1; ///< From the observations of all VMs; 1 while there are few.
    std::optional<double> announced; ///< What the server says of this moment: 1 as usual, 2 twice as long; empty if it said nothing lately.
    Duration announcedAge{0};
};

/// Number of servers that are clearly off the mean of their service.
struct PaceCounts {
    std::size_t slower = 0;
    std::size_t faster = 0;
};

} // namespace cardamomlift::pace
