#include "support/arrivals.h"

#include <algorithm>

namespace cardamomlift::test {

std::map<std::string, std::vector<Arrival>> arrivalsById(std::span<const Arrival> arrivals)
{
    std::map<std::string, std::vector<Arrival>> byId;
    for (const Arrival &arrival : arrivals) {
        byId[arrival.id].push_back(arrival);
    }
    for (auto &[id, ofRequest] : byId) {
        std::sort(ofRequest.begin(), ofRequest.end(), [](const Arrival &a, const Arrival &b) { return a.at < b.at; });
    }
    return byId;
}

std::vector<TimePoint> repeatTimes(const std::map<std::string, std::vector<Arrival>> &arrivals)
{
    std::vector<TimePoint> times;
    for (const auto &[id, ofRequest] : arrivals) {
        for (std::size_t i = 1; i < ofRequest.size(); i++) {
            times.push_back(ofRequest[i].at);
        }
    }
    std::sort(times.begin(), times.end());
    return times;
}

double mostBeyondBound(std::span<const TimePoint> requests, std::span<const TimePoint> repeats, const RepeatBound &bound)
{
    const auto countIn = [&](std::span<const TimePoint> times, TimePoint from) {
        return std::count_if(times.begin(), times.end(), [&](TimePoint at) { return at >= from && at < from + bound.window; });
    };
    double most = -bound.slack;
    for (const TimePoint from : repeats) {
        const auto earned = std::max({countIn(requests, from), countIn(requests, from - bound.window / 2), countIn(requests, from - bound.window)});
        most = std::max(most, static_cast<double>(countIn(repeats, from)) - bound.ratio * static_cast<double>(earned) - bound.slack);
    }
    return most;
}

} // namespace cardamomlift::test
