#pragma once

#include "pace/pacetypes.h"

#include <cstdint>
#include <optional>
#include <span>

namespace cardamomlift::pace {

/// Decays sums by their age, so that recent observations weigh most.
void decay(WorkSums &sums, Duration age);
void decay(FirstByteSums &sums, Duration age);
void add(WorkSums &sum, const WorkSums &other);
void add(FirstByteSums &sum, const FirstByteSums &other);

/// Whether a VM may have told these sums in good faith: finite, not negative, and no more than it could observe.
bool isPlausible(const WorkSums &sums);
bool isPlausible(const FirstByteSums &sums);
/// The announced factor within the bounds that an estimate can have; empty if it can't be true.
std::optional<double> boundedAnnouncement(double factor);

/// Adds work that was observed just now. A single long wait counts as a bounded multiple of @p meanTime, unless that is 0. @p announced: the
/// factor that the server has announced, @p announcedAge ago.
void note(WorkSums &sums, double units, Duration time, double meanTime, std::optional<double> announced, Duration announcedAge);
/// Adds the time to the first byte of one answer.
void note(FirstByteSums &sums, std::int64_t prefillTokens, Duration time);

/// The seconds that a unit of work takes at the servers of a service, in the mean; 0 while few observations or servers are known. A single server
/// moves it little, whatever was observed there.
double meanTime(std::span<const WorkSums> servers);

/// How long work takes at a server relative to the mean, by observations alone.
struct LearntPace {
    double factor = 1;
    double usual = 1; ///< While the server is as usual, by what it announces.
};

/// Adds the current observations of a server to those by which its steady pace is known; their times are in multiples of the mean. To be called
/// several times a second, with the time since the last call.
void addSteady(WorkSums &steady, const WorkSums &current, double meanTime, Duration elapsed);
/// @p meanTime: of the service, in seconds for a unit; 0: not known. 1 while there are few observations.
LearntPace learntPace(const WorkSums &current, const WorkSums &steady, double meanTime);

/// How much an announcement of this age counts: 1 while it is fresh, 0 when it is too old.
double announcementWeight(Duration age);
/// What @p announced makes of the usual pace, weighed by its age.
double announcedFactor(std::optional<double> announced, Duration age);
/// Combines what was learnt and what the server announces. Servers close to the mean count as equal.
PaceEstimate estimate(const LearntPace &learnt, std::optional<double> announced, Duration announcedAge);
/// How far a server is off the mean, either way; 0 at the mean. Servers that are far off are told to other VMs first.
double deviation(const LearntPace &learnt, std::optional<double> announced, Duration announcedAge);

/// Which side of the mean a server is on, as it is logged.
enum class PaceSide { Usual, Slower, Faster };

/// With hysteresis: a server that was off the mean comes back only when it is well within the threshold.
PaceSide sideOf(double learnt, PaceSide previous);

/// Empty while there are too few observations, they differ too little in their tokens, or they show no time for prefill.
std::optional<FirstByteModel> firstByteModel(const FirstByteSums &sums);

} // namespace cardamomlift::pace
