#include "backoff/backofftracker.h"

#include <algorithm>

namespace cardamomlift::backoff {

namespace {

/// Enough to reach MaxOverload from MinOverload.
constexpr int MaxOverloadDoublings = 8;
/// Refusals that are further apart are not in succession.
constexpr Duration RefusalRetention = std::chrono::seconds(10);

} // namespace

BackoffTracker::BackoffTracker(const Clock &clock)
    : clock_(clock)
{
}

std::shared_ptr<BackoffTracker> BackoffTracker::create(const Clock &clock)
{
    return std::shared_ptr<BackoffTracker>(new BackoffTracker(clock));
}

bool BackoffTracker::begin(const std::string &instance, Duration length)
{
    const TimePoint now = clock_.now();
    Backoff &backoff = backoffs_[instance];
    const bool isNew = backoff.until <= now;
    if (isNew) {
        backoff = {};
    }
    backoff.until = std::max(backoff.until, now + length);
    return isNew;
}

std::optional<TimePoint> BackoffTracker::endsAt(const std::string &instance) const
{
    const auto found = backoffs_.find(instance);
    if (found == backoffs_.end() || found->second.until <= clock_.now()) {
        return std::nullopt;
    }
    return found->second.until;
}

bool BackoffTracker::takeException(const std::string &instance)
{
    if (!endsAt(instance)) {
        return true;
    }
    Backoff &backoff = backoffs_.at(instance);
    if (backoff.exceptions >= ExceptionsPerBackoff) {
        return false;
    }
    backoff.exceptions++;
    return true;
}

void BackoffTracker::noteRefused(const std::string &instance)
{
    Refusals &refusals = refusals_[instance];
    refusals.inSuccession++;
    refusals.lastAt = clock_.now();
    if (refusals.inSuccession < RefusalsToOverload) {
        return;
    }
    const int doublings = std::min(refusals.inSuccession - RefusalsToOverload, MaxOverloadDoublings);
    refusals.overloadedUntil = clock_.now() + std::min(MinOverload * (1 << doublings), MaxOverload);
}

bool BackoffTracker::isOverloaded(const std::string &instance) const
{
    const auto found = refusals_.find(instance);
    return found != refusals_.end() && clock_.now() < found->second.overloadedUntil;
}

void BackoffTracker::noteAnswered(const std::string &instance, TimePoint sentAt)
{
    refusals_.erase(instance);
    const auto found = backoffs_.find(instance);
    // An answer to a request sent earlier does not tell that the server accepts requests again.
    if (found != backoffs_.end() && sentAt >= found->second.until) {
        found->second.answered++;
    }
}

std::optional<int> BackoffTracker::openLimit(const std::string &instance) const
{
    const auto found = backoffs_.find(instance);
    if (found == backoffs_.end() || hasRecovered(found->second)) {
        return std::nullopt;
    }
    return 1 + found->second.answered;
}

bool BackoffTracker::hasRecovered(const Backoff &backoff) const
{
    return backoff.answered >= AnswersToRecover || clock_.now() >= backoff.until + RecoveryTimeout;
}

std::size_t BackoffTracker::count() const
{
    const TimePoint now = clock_.now();
    return static_cast<std::size_t>(std::count_if(backoffs_.begin(), backoffs_.end(), [now](const auto &entry) { return entry.second.until > now; }));
}

std::size_t BackoffTracker::size() const
{
    const auto isRefusalOnly = [this](const auto &entry) {
        return !backoffs_.contains(entry.first);
    };
    return backoffs_.size() + static_cast<std::size_t>(std::count_if(refusals_.begin(), refusals_.end(), isRefusalOnly));
}

void BackoffTracker::tick()
{
    std::erase_if(backoffs_, [this](const auto &entry) { return hasRecovered(entry.second); });
    const TimePoint now = clock_.now();
    std::erase_if(refusals_, [now](const auto &entry) { return now >= entry.second.lastAt + RefusalRetention; });
}

} // namespace cardamomlift::backoff
