#include "pace/pacerules.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace cardamomlift::pace {

namespace {

/// Time after which an observation counts 1/e. A server that slows down must show within a second or so.
constexpr double WorkTimeConstantSeconds = 1.5;
constexpr double FirstByteTimeConstantSeconds = 10;

/// Upper bounds on what one VM or group can have observed within these time constants.
constexpr double MaxUnits = 1e6;
constexpr double MaxSeconds = 1e5;
constexpr double MaxTokens = 1e9;
constexpr Duration MaxFirstByteTime = std::chrono::seconds(30);
constexpr std::int64_t MaxPrefillTokens = 1'000'000;

/// A longer time of one unit counts as this multiple of the mean.
constexpr double MaxUnitRatio = 16;

/// Bounds on a factor: however fast a server seems, it gets a bounded multiple of the others' work, and however slow, it is still tried.
constexpr double MinFactor = 0.25;
constexpr double MaxFactor = 8;
constexpr double MinAnnounced = 0.01;
constexpr double MaxAnnounced = 100;
/// Servers within this of the mean count as equally fast: chance alone makes such a difference.
constexpr double DeadBand = 0.15;

/// The same for the steady pace, which lasts between the few requests that a server gets of the VMs that this one hears of.
constexpr double SteadyTimeConstantSeconds = 5;
/// More units than this make the steady pace no surer. A server without work is unknown again when they have faded.
constexpr double MaxSteadyUnits = 100;

/// Units at the steady, or else the mean, pace that are added to the observations of each server.
constexpr double PriorUnits = 8;
/// With fewer units a server counts as unknown.
constexpr double MinServerUnits = 3;
/// With fewer units or servers the mean of a service is unknown.
constexpr double MinServiceUnits = 20;
constexpr std::size_t MinServiceServers = 2;
/// For the mean, a server counts with at most this multiple of the median number of units, and its time as at most this multiple, or at least this
/// part, of the median.
constexpr double MaxUnitsOverMedian = 3;
constexpr double MaxTimeOverMedian = 2.5;

/// Announcements change many times a second.
constexpr Duration AnnouncementFresh = std::chrono::milliseconds(100);
constexpr Duration AnnouncementOld = std::chrono::milliseconds(600);

constexpr double ClearlySlower = 1.5;
constexpr double ClearlyFaster = 0.67;
constexpr double NoLongerSlower = 1.25;
constexpr double NoLongerFaster = 0.8;

constexpr double MinFirstBytes = 20;
/// Standard deviation of the tokens to prefill that is needed to tell the time for prefill from chance.
constexpr double MinTokensSpread = 200;
constexpr double MinTokensPerSecond = 1'000;
constexpr double MaxTokensPerSecond = 2'000'000;

double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

double decayFactor(Duration age, double timeConstantSeconds)
{
    return age > Duration(0) ? std::exp(-toSeconds(age) / timeConstantSeconds) : 1;
}

void scale(WorkSums &sums, double factor)
{
    sums.seconds *= factor;
    sums.usualSeconds *= factor;
    sums.units *= factor;
}

bool isWithin(double value, double max)
{
    return std::isfinite(value) && value >= 0 && value <= max;
}

double clampFactor(double factor)
{
    return std::clamp(factor, MinFactor, MaxFactor);
}

double withDeadBand(double factor)
{
    return std::abs(factor - 1) <= DeadBand ? 1 : factor;
}

/// The time of one unit of work at a server, and how much it counts.
struct UnitTime {
    double seconds = 0;
    double weight = 0;
};

double weightedMedian(std::vector<UnitTime> &times, double totalWeight)
{
    std::sort(times.begin(), times.end(), [](const UnitTime &a, const UnitTime &b) { return a.seconds < b.seconds; });
    double below = 0;
    for (const UnitTime &time : times) {
        below += time.weight;
        if (below >= totalWeight / 2) {
            return time.seconds;
        }
    }
    return times.back().seconds;
}

double medianUnits(std::span<const WorkSums> servers)
{
    std::vector<double> units;
    units.reserve(servers.size());
    for (const WorkSums &server : servers) {
        if (server.units > 0) {
            units.push_back(server.units);
        }
    }
    const auto middle = units.begin() + static_cast<std::ptrdiff_t>(units.size() / 2);
    std::nth_element(units.begin(), middle, units.end());
    return *middle;
}

/// The ratio of the time of @p units to the mean, with @p prior added to it.
double shrunkRatio(double seconds, double units, double meanTime, double prior)
{
    if (units < MinServerUnits) {
        return prior;
    }
    return (seconds + PriorUnits * prior * meanTime) / ((units + PriorUnits) * meanTime);
}

} // namespace

void decay(WorkSums &sums, Duration age)
{
    scale(sums, decayFactor(age, WorkTimeConstantSeconds));
}

void decay(FirstByteSums &sums, Duration age)
{
    const double factor = decayFactor(age, FirstByteTimeConstantSeconds);
    sums.count *= factor;
    sums.tokens *= factor;
    sums.seconds *= factor;
    sums.tokensSquared *= factor;
    sums.tokensSeconds *= factor;
}

void add(WorkSums &sum, const WorkSums &other)
{
    sum.seconds += other.seconds;
    sum.usualSeconds += other.usualSeconds;
    sum.units += other.units;
}

void add(FirstByteSums &sum, const FirstByteSums &other)
{
    sum.count += other.count;
    sum.tokens += other.tokens;
    sum.seconds += other.seconds;
    sum.tokensSquared += other.tokensSquared;
    sum.tokensSeconds += other.tokensSeconds;
}

bool isPlausible(const WorkSums &sums)
{
    return isWithin(sums.seconds, MaxSeconds) && isWithin(sums.usualSeconds, MaxSeconds / MinFactor) && isWithin(sums.units, MaxUnits);
}

bool isPlausible(const FirstByteSums &sums)
{
    return isWithin(sums.count, MaxUnits) && isWithin(sums.tokens, MaxTokens * MaxUnits) && isWithin(sums.seconds, MaxSeconds)
        && isWithin(sums.tokensSquared, MaxTokens * MaxTokens) && isWithin(sums.tokensSeconds, MaxTokens * MaxSeconds);
}

std::optional<double> boundedAnnouncement(double factor)
{
    if (!(factor >= MinAnnounced && factor <= MaxAnnounced)) {
        return std::nullopt;
    }
    return clampFactor(factor);
}

void note(WorkSums &sums, double units, Duration time, double meanTime, std::optional<double> announced, Duration announcedAge)
{
    double seconds = std::max(0.0, toSeconds(time));
    if (meanTime > 0) {
        seconds = std::min(seconds, units * MaxUnitRatio * meanTime);
    }
    sums.seconds += seconds;
    sums.usualSeconds += seconds / announcedFactor(announced, announcedAge);
    sums.units += units;
}

void note(FirstByteSums &sums, std::int64_t prefillTokens, Duration time)
{
    const auto tokens = static_cast<double>(std::clamp<std::int64_t>(prefillTokens, 0, MaxPrefillTokens));
    const double seconds = toSeconds(std::clamp(time, Duration(0), MaxFirstByteTime));
    sums.count += 1;
    sums.tokens += tokens;
    sums.seconds += seconds;
    sums.tokensSquared += tokens * tokens;
    sums.tokensSeconds += tokens * seconds;
}

double meanTime(std::span<const WorkSums> servers)
{
    double units = 0;
    std::size_t count = 0;
    for (const WorkSums &server : servers) {
        units += server.units;
        count += server.units > 0 ? 1 : 0;
    }
    if (units < MinServiceUnits || count < MinServiceServers) {
        return 0;
    }
    const double maxWeight = MaxUnitsOverMedian * medianUnits(servers);
    std::vector<UnitTime> times;
    times.reserve(count);
    double totalWeight = 0;
    for (const WorkSums &server : servers) {
        if (server.units > 0) {
            times.push_back({server.seconds / server.units, std::min(server.units, maxWeight)});
            totalWeight += times.back().weight;
        }
    }
    const double median = weightedMedian(times, totalWeight);
    double sum = 0;
    for (const UnitTime &time : times) {
        sum += time.weight * std::clamp(time.seconds, median / MaxTimeOverMedian, median * MaxTimeOverMedian);
    }
    return sum / totalWeight;
}

void addSteady(WorkSums &steady, const WorkSums &current, double meanTime, Duration elapsed)
{
    scale(steady, decayFactor(elapsed, SteadyTimeConstantSeconds));
    if (meanTime <= 0) {
        return;
    }
    const double share = toSeconds(elapsed) / WorkTimeConstantSeconds;
    add(steady, {current.seconds / meanTime * share, current.usualSeconds / meanTime * share, current.units * share});
    if (steady.units > MaxSteadyUnits) {
        scale(steady, MaxSteadyUnits / steady.units);
    }
}

LearntPace learntPace(const WorkSums &current, const WorkSums &steady, double meanTime)
{
    if (meanTime <= 0) {
        return {};
    }
    const double factor = shrunkRatio(current.seconds, current.units, meanTime, shrunkRatio(steady.seconds, steady.units, 1, 1));
    const double usual = shrunkRatio(current.usualSeconds, current.units, meanTime, shrunkRatio(steady.usualSeconds, steady.units, 1, 1));
    // An announcement multiplies the usual pace, so that may lie farther from the mean.
    return {clampFactor(factor), std::clamp(usual, MinFactor / MaxFactor, MaxFactor / MinFactor)};
}

double announcementWeight(Duration age)
{
    if (age <= AnnouncementFresh) {
        return 1;
    }
    return std::max(0.0, toSeconds(AnnouncementOld - age) / toSeconds(AnnouncementOld - AnnouncementFresh));
}

double announcedFactor(std::optional<double> announced, Duration age)
{
    return announced ? 1 + (*announced - 1) * announcementWeight(age) : 1;
}

PaceEstimate estimate(const LearntPace &learnt, std::optional<double> announced, Duration announcedAge)
{
    PaceEstimate result;
    result.learnt = withDeadBand(learnt.factor);
    const double weight = announced ? announcementWeight(announcedAge) : 0;
    if (weight <= 0) {
        result.factor = result.learnt;
        return result;
    }
    result.announced = announced;
    result.announcedAge = announcedAge;
    result.factor = withDeadBand(clampFactor(weight * learnt.usual * *announced + (1 - weight) * learnt.factor));
    return result;
}

double deviation(const LearntPace &learnt, std::optional<double> announced, Duration announcedAge)
{
    const double said = announced ? std::abs(std::log(*announced)) * announcementWeight(announcedAge) : 0;
    return std::max({std::abs(std::log(learnt.factor)), std::abs(std::log(learnt.usual)), said});
}

PaceSide sideOf(double learnt, PaceSide previous)
{
    if (learnt >= ClearlySlower || (previous == PaceSide::Slower && learnt > NoLongerSlower)) {
        return PaceSide::Slower;
    }
    if (learnt <= ClearlyFaster || (previous == PaceSide::Faster && learnt < NoLongerFaster)) {
        return PaceSide::Faster;
    }
    return PaceSide::Usual;
}

std::optional<FirstByteModel> firstByteModel(const FirstByteSums &sums)
{
    if (sums.count < MinFirstBytes) {
        return std::nullopt;
    }
    const double meanTokens = sums.tokens / sums.count;
    const double meanSeconds = sums.seconds / sums.count;
    const double variance = sums.tokensSquared / sums.count - meanTokens * meanTokens;
    if (variance < MinTokensSpread * MinTokensSpread) {
        return std::nullopt;
    }
    const double secondsPerToken = (sums.tokensSeconds / sums.count - meanTokens * meanSeconds) / variance;
    if (secondsPerToken < 1 / MaxTokensPerSecond || secondsPerToken > 1 / MinTokensPerSecond) {
        return std::nullopt;
    }
    const double base = std::max(0.0, meanSeconds - secondsPerToken * meanTokens);
    return FirstByteModel{std::chrono::duration_cast<Duration>(std::chrono::duration<double>(base)), 1 / secondsPerToken};
}

} // namespace cardamomlift::pace
