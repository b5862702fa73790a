#include "usage/usagecounter.h"

#include <algorithm>

namespace cardamomlift::usage {

namespace {

/// Windows that a VM repeats in its statuses: the current one and those that may not have been reported yet.
constexpr std::int64_t WindowsTold = 3;
/// Windows kept here, for a new holder of the duty that reports late.
constexpr std::int64_t WindowsKept = 8;

} // namespace

UsageCounter::UsageCounter(std::shared_ptr<presence::Presence> presence, std::shared_ptr<presence::ClusterClock> time, Duration window)
    : presence_(std::move(presence))
    , time_(std::move(time))
    , window_(window)
{
}

std::shared_ptr<UsageCounter> UsageCounter::create(std::shared_ptr<presence::Presence> presence, std::shared_ptr<presence::ClusterClock> time, Duration window)
{
    std::shared_ptr<UsageCounter> counter(new UsageCounter(std::move(presence), std::move(time), window));
    const std::weak_ptr<UsageCounter> weak = counter;
    counter->presence_->addStatusContributor([weak](presence::Status &status) {
        if (const auto self = weak.lock()) {
            self->fill(status);
        }
    });
    counter->presence_->onStatus([weak](const presence::Status &status, std::optional<TimePoint>) {
        if (const auto self = weak.lock()) {
            self->takeStatus(status);
        }
    });
    return counter;
}

std::optional<std::int64_t> UsageCounter::currentWindow() const
{
    const auto now = time_->now();
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
        own_[*window][presence::nameHash(customer)]++;
    }
}

void UsageCounter::fill(presence::Status &status)
{
    dropOld();
    const auto current = currentWindow();
    if (!current) {
        return;
    }
    for (auto entry = own_.lower_bound(*current - WindowsTold + 1); entry != own_.end(); ++entry) {
        for (const auto &[customer, count] : entry->second) {
            status.usage.push_back({entry->first, customer, static_cast<std::uint32_t>(count)});
        }
    }
}

void UsageCounter::takeStatus(const presence::Status &status)
{
    const Source source{status.instance, status.incarnation};
    for (const presence::UsageCount &usage : status.usage) {
        std::uint64_t &count = others_[usage.window][source][usage.customer];
        count = std::max<std::uint64_t>(count, usage.count);
    }
}

void UsageCounter::dropOld()
{
    const auto current = currentWindow();
    if (!current) {
        return;
    }
    own_.erase(own_.begin(), own_.lower_bound(*current - WindowsKept));
    others_.erase(others_.begin(), others_.lower_bound(*current - WindowsKept));
}

CustomerCounts UsageCounter::total(std::int64_t window) const
{
    CustomerCounts sum;
    if (const auto own = own_.find(window); own != own_.end()) {
        sum = own->second;
    }
    const auto others = others_.find(window);
    if (others == others_.end()) {
        return sum;
    }
    for (const auto &[source, counts] : others->second) {
        for (const auto &[customer, count] : counts) {
            sum[customer] += count;
        }
    }
    return sum;
}

} // namespace cardamomlift::usage
