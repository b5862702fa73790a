#include "support/announcements.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <optional>

namespace cardamomlift::test {

namespace {

/// All that one server got from one entry VM.
struct Exchange {
    std::string server;
    int entry = 0;
    std::vector<Arrival> arrivals; ///< In the order of time.
};

std::vector<Exchange> exchangesOf(std::span<const Arrival> arrivals, const std::map<std::string, SentRequest> &sent)
{
    std::map<std::pair<std::string, int>, std::vector<Arrival>> byPair;
    for (const Arrival &arrival : arrivals) {
        if (const auto found = sent.find(arrival.id); found != sent.end()) {
            byPair[{arrival.server, found->second.entry}].push_back(arrival);
        }
    }
    std::vector<Exchange> exchanges;
    for (auto &[pair, ofPair] : byPair) {
        std::sort(ofPair.begin(), ofPair.end(), [](const Arrival &a, const Arrival &b) { return a.at < b.at; });
        exchanges.push_back({pair.first, pair.second, std::move(ofPair)});
    }
    return exchanges;
}

bool isDisturbed(std::span<const Disturbance> disturbances, const Exchange &exchange, TimePoint from, TimePoint until)
{
    return std::any_of(disturbances.begin(), disturbances.end(), [&](const Disturbance &disturbance) {
        const bool isOfEntry = disturbance.entry == 0 || disturbance.entry == exchange.entry;
        const bool isOfWorker = disturbance.worker.empty() || exchange.server.starts_with(disturbance.worker + ",");
        return isOfEntry && isOfWorker && disturbance.from <= until && disturbance.until >= from;
    });
}

/// Whether the caller got the announcement, so that the entry VM knows it.
bool isPassedOn(const SentRequest &request)
{
    return !http::headerValue(request.call->headers, "Server-Leaving").empty();
}

std::optional<Duration> backoffOf(const Arrival &arrival)
{
    const double seconds = std::strtod(arrival.backoff.c_str(), nullptr);
    if (!arrival.answeredAt || !std::isfinite(seconds) || seconds <= 0) {
        return std::nullopt;
    }
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

std::optional<std::size_t> mostInBackoff(const Exchange &exchange, std::span<const Disturbance> disturbances, const AnnouncementBounds &bounds)
{
    std::optional<std::size_t> most;
    for (const Arrival &refused : exchange.arrivals) {
        const auto backoff = backoffOf(refused);
        if (!backoff || isDisturbed(disturbances, exchange, *refused.answeredAt, *refused.answeredAt + *backoff)) {
            continue;
        }
        const TimePoint from = *refused.answeredAt + bounds.backoffKnownAfter;
        const TimePoint until = *refused.answeredAt + *backoff;
        const auto count = std::count_if(
            exchange.arrivals.begin(), exchange.arrivals.end(), [&](const Arrival &arrival) { return arrival.at - arrival.lag > from && arrival.at < until; });
        most = std::max(most.value_or(0), static_cast<std::size_t>(count));
    }
    return most;
}

std::optional<std::size_t> lateAtLeaving(
    const Exchange &exchange, const std::map<std::string, SentRequest> &sent, std::span<const Disturbance> disturbances, const AnnouncementBounds &bounds)
{
    std::optional<std::size_t> late;
    for (const Arrival &told : exchange.arrivals) {
        if (!told.isToldLeaving || !isPassedOn(sent.at(told.id))) {
            continue;
        }
        const TimePoint knownAt = *told.answeredAt + bounds.leavingKnownAfter;
        const auto count = std::count_if(exchange.arrivals.begin(), exchange.arrivals.end(), [&](const Arrival &arrival) {
            return sent.at(arrival.id).at > knownAt && !isDisturbed(disturbances, exchange, *told.answeredAt, arrival.at);
        });
        late = std::max(late.value_or(0), static_cast<std::size_t>(count));
    }
    return late;
}

} // namespace

AnnouncementReport checkAnnouncements(std::span<const Arrival> arrivals,
    const std::map<std::string, SentRequest> &sent,
    std::span<const Disturbance> disturbances,
    const AnnouncementBounds &bounds)
{
    AnnouncementReport report;
    for (const Exchange &exchange : exchangesOf(arrivals, sent)) {
        if (const auto most = mostInBackoff(exchange, disturbances, bounds)) {
            report.backoffs++;
            report.mostInBackoff = std::max(report.mostInBackoff, *most);
            report.pairsBeyondBound += *most > bounds.arrivalsInBackoff ? 1 : 0;
        }
        if (const auto late = lateAtLeaving(exchange, sent, disturbances, bounds)) {
            report.leavings++;
            report.lateAtLeaving += *late;
        }
    }
    return report;
}

} // namespace cardamomlift::test
