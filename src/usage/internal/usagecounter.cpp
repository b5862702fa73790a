#include "usage/usagecounter.h"

#include <algorithm>

namespace cardamomlift::usage {

namespace {

/// Number of windows that a VM includes in its status: the current one and those whose usage may not have been reported yet.
constexpr std::int64_t ReportedWindows = 3;
/// Number of windows before the current one that are kept, for a new usage reporter that reports late.
constexpr std::int64_t RetainedWindows = 8;

} // namespace

UsageCounter::UsageCounter(std::shared_ptr<presence::Presence> presence, std::shared_ptr<presence::ClusterClock> clock, Duration window)
    : presence_(std::move(presence))
    , clock_(std::move(clock))
    , window_(window)
{
}

std::shared_ptr<UsageCounter> UsageCounter::create(std::shared_ptr<presence::Presence> presence, std::shared_ptr<presence::ClusterClock> clock, Duration window)
{
    std::shared_ptr<UsageCounter> counter(new UsageCounter(std::move(presence), std::move(clock), window));
    const std::weak_ptr<UsageCounter> weak = counter;
    counter->presence_->addStatusContributor([weak](presence::Status &status) {
        if (const auto self = weak.lock()) {
            self->addToStatus(status);
        }
    });
    counter->presence_->onStatus([weak](const presence::Status &status, std::optional<TimePoint>) {
        if (const auto self = weak.lock()) {
            self->onStatus(status);
        }
    });
    return counter;
}

std::optional<std::int64_t> UsageCounter::currentWindow() const
{
    const auto now = clock_->now();
    if (!now) {
        return std::nullopt;
    }
    return now->time_since_epoch() / window_;
}

WallTime UsageCounter::windowEnd(std::int64_t window) const
{
    return WallTime(window_ * (window + 1));
}

void UsageCounter::noteStarted(const std::string &customer)
{
    if (const auto window = currentWindow()) {
        localCounts_[*window][presence::nameHash(customer)]++;
    }
}

void UsageCounter::addToStatus(presence::Status &status)
{
    dropExpiredWindows();
    const auto current = currentWindow();
    if (!current) {
        return;
    }
    for (auto entry = localCounts_.lower_bound(*current - ReportedWindows + 1); entry != localCounts_.end(); ++entry) {
        for (const auto &[customer, count] : entry->second) {
            status.usage.push_back({entry->first, customer, static_cast<std::uint32_t>(count)});
        }
    }
}

void UsageCounter::onStatus(const presence::Status &status)
{
    const PeerProcess process{status.instance, status.incarnation};
    for (const presence::UsageCount &usage : status.usage) {
        std::uint64_t &count = peerCounts_[usage.window][process][usage.customer];
        count = std::max<std::uint64_t>(count, usage.count);
    }
}

void UsageCounter::dropExpiredWindows()
{
    const auto current = currentWindow();
    if (!current) {
        return;
    }
    localCounts_.erase(localCounts_.begin(), localCounts_.lower_bound(*current - RetainedWindows));
    peerCounts_.erase(peerCounts_.begin(), peerCounts_.lower_bound(*current - RetainedWindows));
}

CustomerCounts UsageCounter::total(std::int64_t window) const
{
    CustomerCounts sum;
    if (const auto local = localCounts_.find(window); local != localCounts_.end()) {
        sum = local->second;
    }
    const auto peers = peerCounts_.find(window);
    if (peers == peerCounts_.end()) {
        return sum;
    }
    for (const auto &[process, counts] : peers->second) {
        for (const auto &[customer, count] : counts) {
            sum[customer] += count;
        }
    }
    return sum;
}

} // namespace cardamomlift::usage
