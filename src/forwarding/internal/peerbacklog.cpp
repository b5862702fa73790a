#include "forwarding/peerbacklog.h"

#include <algorithm>
#include <cmath>

namespace cardamomlift::forwarding {

namespace {

/// Prompt tokens that an engine prefills per second, where its rate is not known, and the bounds of a known rate.
constexpr double UsualTokensPerSecond = 40'000;
constexpr double MinTokensPerSecond = 4'000;
constexpr double MaxTokensPerSecond = 1'000'000;
constexpr double MicrosecondsPerSecond = 1e6;

double boundedRate(double tokensPerSecond)
{
    if (!std::isfinite(tokensPerSecond) || tokensPerSecond <= 0) {
        return UsualTokensPerSecond;
    }
    return std::clamp(tokensPerSecond, MinTokensPerSecond, MaxTokensPerSecond);
}

} // namespace

void PeerBacklog::dropReport(const std::string &vm)
{
    for (const std::uint64_t server : serversByVm_[vm]) {
        const auto found = servers_.find(server);
        if (found == servers_.end()) {
            continue;
        }
        found->second.erase(vm);
        if (found->second.empty()) {
            servers_.erase(found);
        }
    }
    serversByVm_.erase(vm);
}

void PeerBacklog::update(const std::string &vm, std::span<const presence::ServerWork> serverWork, TimePoint now)
{
    dropReport(vm);
    for (const presence::ServerWork &work : serverWork) {
        servers_[work.server][vm] = {work.waitingTokens, now};
        serversByVm_[vm].push_back(work.server);
    }
}

std::int64_t PeerBacklog::waitingTokens(std::uint64_t server, double prefillTokensPerSecond, TimePoint now) const
{
    const auto found = servers_.find(server);
    if (found == servers_.end()) {
        return 0;
    }
    const double tokensPerSecond = boundedRate(prefillTokensPerSecond);
    std::int64_t sum = 0;
    for (const auto &[vm, report] : found->second) {
        const double prefilled = static_cast<double>((now - report.at).count()) / MicrosecondsPerSecond * tokensPerSecond;
        sum += std::max<std::int64_t>(0, report.tokens - static_cast<std::int64_t>(prefilled));
    }
    return sum;
}

} // namespace cardamomlift::forwarding
