#include "forwarding/servicedemand.h"

#include <algorithm>
#include <cmath>

namespace cardamomlift::forwarding {

namespace {

/// Time constant of the averages: shorter than the start-up time of a server, longer than the gaps between bursts.
constexpr double AveragingSeconds = 3;
constexpr double MicrosecondsPerSecond = 1e6;

} // namespace

void ServiceDemand::decay(Entry &entry, TimePoint now)
{
    const double factor = std::exp(-static_cast<double>((now - entry.updatedAt).count()) / MicrosecondsPerSecond / AveragingSeconds);
    entry.requestsPerSecond *= factor;
    entry.tokensPerSecond *= factor;
    entry.answersPerSecond *= factor;
    entry.latenessPerSecond *= factor;
    entry.updatedAt = now;
}

void ServiceDemand::noteRequest(const std::string &service, std::int64_t promptTokens, TimePoint now)
{
    Entry &entry = entries_[service];
    decay(entry, now);
    entry.requestsPerSecond += 1 / AveragingSeconds;
    entry.tokensPerSecond += static_cast<double>(promptTokens) / AveragingSeconds;
    entry.open++;
}

void ServiceDemand::noteEnded(const std::string &service)
{
    Entry &entry = entries_[service];
    entry.open -= std::min(entry.open, 1U);
}

void ServiceDemand::noteFirstByte(const std::string &service, Duration timeToFirstByte, Duration latencyGoal, TimePoint now)
{
    if (latencyGoal.count() <= 0) {
        return;
    }
    Entry &entry = entries_[service];
    decay(entry, now);
    entry.answersPerSecond += 1 / AveragingSeconds;
    entry.latenessPerSecond += static_cast<double>(timeToFirstByte.count()) / static_cast<double>(latencyGoal.count()) / AveragingSeconds;
}

std::vector<presence::ServiceLoad> ServiceDemand::loads(TimePoint now) const
{
    std::vector<presence::ServiceLoad> loads;
    for (auto [service, entry] : entries_) {
        decay(entry, now);
        presence::ServiceLoad load;
        load.service = presence::nameHash(service);
        load.promptTokensPerSecond = entry.tokensPerSecond;
        load.open = entry.open;
        load.requestsPerSecond = entry.requestsPerSecond;
        load.answersPerSecond = entry.answersPerSecond;
        load.latencyRatio = entry.answersPerSecond > 0 ? entry.latenessPerSecond / entry.answersPerSecond : 0;
        loads.push_back(load);
    }
    return loads;
}

} // namespace cardamomlift::forwarding
