#include "allowance/allowancerules.h"

#include <algorithm>
#include <cmath>

namespace cardamomlift::allowance {

namespace {

/// Above this fraction of the burst, all requests are admitted: what the VMs can take before they receive each other's statuses
/// (a third of a second at several times the rate) is less.
constexpr double FullFraction = 0.6;
/// Below this fraction of the burst, all VMs refuse requests until the refill has made up for what some of them took before
/// the others knew of it. Otherwise each of many VMs could leave a debt of one request, together more than the allowance.
constexpr double EmptyFraction = 0.1;
/// Requests that cost at most this fraction of the burst are small: a thousand of them fit beside a few long prompts of the same
/// customer.
constexpr double SmallRequestFraction = 0.002;
/// Small requests are admitted down to this fraction of the burst, which is below zero, so that a customer that exceeds its limit
/// with long prompts can still send its bookings and look-ups. With two of five customers at six times their usual demand, these
/// were 0.027 of all requests to be served in a day, at two hundred tokens each. The debt is refilled before long prompts are
/// admitted again.
constexpr double SmallRequestFloor = -0.2;
/// The level, as a fraction of the burst, that a new process assumes until it hears from the others. It lets a customer within its
/// limit be served from the first request on after all VMs were restarted: with an empty bucket, 2 to 16 in 100 of its tokens
/// were refused in the first two seconds. On the other hand, each restart gives this much more to a customer far over its limit.
constexpr double InitialFraction = 0.65;
/// Until a new process has heard from any other, it admits this many even shares of the initial level. A request larger than what
/// is left of them is admitted with a probability that keeps the mean. Without this bound, 90 VMs that were restarted at once
/// admitted every request until they had heard from each other: 2.3 million tokens where the limit was 0.4 million a second.
/// With few VMs the even shares are so large that nearly all requests are admitted.
constexpr double InitialShares = 8;
/// From this number on, VMs are divided into groups and a new process does not hear from all others at once, so it keeps to its
/// even shares for DiscoveryTime.
constexpr std::size_t ManyVms = 25;
constexpr Duration DiscoveryTime = std::chrono::milliseconds(1200);
/// The demand is averaged over about this time, two statuses. With 1.5 s, 288 VMs were too slow to notice 7.5 times the usual
/// demand: in 25 of 60 simulations they admitted up to 0.04 more than the limit in a window; with this value, in none.
constexpr double DemandAverageSeconds = 0.8;
/// The rate at which a group takes is averaged over about this time, since one long prompt is as much as a group takes between
/// several summaries otherwise.
constexpr double TakenAverageSeconds = 1.5;
/// While the bucket runs low and many VMs share it, requests are admitted at this multiple of the refill rate, since demand comes
/// in bursts: at the refill rate itself, a customer within its limit was refused in 6 of 60 simulations; with this factor, in 3.
/// The excess empties the bucket, and then all requests are refused.
constexpr double RefillFactor = 1.1;
/// A share accumulates for up to this time, so that a request of usual size fits.
constexpr double ShareBurstSeconds = 0.5;
/// The retry delay while the demand is twice what can be admitted; it grows with the demand. A customer's demand changes within
/// seconds.
constexpr double RetryUnitSeconds = 0.5;
/// The demand of a peer that sends no statuses is counted for this time. A VM that has lost the store stops serving requests with
/// API keys within a few seconds, so one that is silent for longer has stopped or serves nothing.
constexpr Duration PeerLifetime = std::chrono::seconds(15);
constexpr double MicrosecondsPerSecond = 1e6;
/// An earlier retry would meet the same state.
constexpr Duration MinRetryAfter = std::chrono::milliseconds(250);
constexpr Duration MaxRetryAfter = std::chrono::seconds(8);

double seconds(Duration duration)
{
    return static_cast<double>(duration.count()) / MicrosecondsPerSecond;
}

/// Returns what a newly known VM has taken since this one started: all that it has taken if its process is younger, otherwise
/// an estimate from its demand.
double takenSince(const PeerUsage &use, TimePoint startedAt)
{
    const Duration ownTime = use.receivedAt - startedAt;
    return use.uptime <= ownTime ? use.taken : std::min(use.taken, use.demandPerSecond * seconds(ownTime));
}

/// Updates the average rate @p perSecond after @p passed seconds in which @p taken was taken. A short time changes it only a
/// little, whatever was taken in it: two VMs of a group may answer within a millisecond, and the second has counted more.
double averagedRate(double perSecond, double taken, double passed)
{
    if (passed <= 0) {
        return perSecond;
    }
    const double weight = std::exp(-passed / TakenAverageSeconds);
    return perSecond * weight + std::max(0.0, taken / passed) * (1 - weight);
}

bool hasGroupSummaries(const BucketEstimate &bucket)
{
    return std::any_of(bucket.peers.begin(), bucket.peers.end(), [](const auto &peer) { return peer.second.isGroup; });
}

/// Decides whether a request is admitted while the bucket runs low. With few VMs, each has many requests a second and uses up its
/// share of the refill; refused callers find room when the debt has been refilled. With many VMs, each has one request in many
/// seconds and a share would mean nothing, so each VM admits the same fraction of its requests. On days with a customer at several
/// times its usual demand, few VMs with the second rule served 0.02 and 0.06 less of the requests to be served (five seeds each
/// of two deployments); many VMs with the first rule admit up to 0.15 more than the limit.
bool takeWhileLow(BucketEstimate &bucket, const manifest::Allowance &allowance, double amount, TimePoint now)
{
    if (!hasGroupSummaries(bucket)) {
        // NOTE A request may be larger than the accumulated share. It leaves a debt, which has to be refilled before the next one.
        const bool isAllowed = bucket.shareLevel > 0;
        bucket.shareLevel -= isAllowed ? amount : 0;
        return isAllowed;
    }
    bucket.admissionCredit += admittedFraction(bucket, allowance, now);
    const bool isAdmitted = bucket.admissionCredit >= 1;
    bucket.admissionCredit -= isAdmitted ? 1 : 0;
    return isAdmitted;
}

bool isDiscoveringPeers(const BucketEstimate &bucket, TimePoint now)
{
    return now - bucket.startedAt < DiscoveryTime && (bucket.peers.empty() || bucket.vmCount >= ManyVms);
}

/// Decides whether a request is admitted by a process that has not heard from the others yet.
bool fitsInitialShares(const BucketEstimate &bucket, const manifest::Allowance &allowance, double amount)
{
    const double evenShare = InitialFraction * allowance.burst / static_cast<double>(std::max<std::size_t>(1, bucket.vmCount));
    const double remaining = std::max(0.0, InitialShares * evenShare - bucket.taken);
    // NOTE The credit is not changed: it is evenly distributed over the VMs, and has to be when the bucket runs low.
    return remaining > 0 && remaining / std::max(1.0, amount) >= 1 - bucket.admissionCredit;
}

} // namespace

double peerDemand(const BucketEstimate &bucket, TimePoint now)
{
    double sum = 0;
    for (const auto &[instance, peer] : bucket.peers) {
        if (now - peer.receivedAt <= PeerLifetime) {
            sum += peer.demandPerSecond;
        }
    }
    return sum;
}

double localDemand(const BucketEstimate &bucket, TimePoint now)
{
    return bucket.demandPerSecond * std::exp(-seconds(now - bucket.demandUpdatedAt) / DemandAverageSeconds);
}

double availableLevel(const BucketEstimate &bucket, TimePoint now)
{
    double level = bucket.level;
    for (const auto &[instance, peer] : bucket.peers) {
        if (now - peer.receivedAt <= PeerLifetime) {
            level -= peer.demandPerSecond * seconds(now - peer.receivedAt);
        }
    }
    return level;
}

double ownShare(const BucketEstimate &bucket, std::size_t vmCount, TimePoint now)
{
    const double even = 1.0 / static_cast<double>(std::max<std::size_t>(1, vmCount));
    const double local = localDemand(bucket, now);
    const double sum = local + peerDemand(bucket, now);
    if (sum <= 0 || bucket.peers.empty()) {
        // Nothing is known of the others: half of an even share, since as many VMs again may just have started.
        return even / 2;
    }
    return local / sum;
}

double admittedFraction(const BucketEstimate &bucket, const manifest::Allowance &allowance, TimePoint now)
{
    return std::min(1.0, RefillFactor * allowance.perSecond / std::max(1e-9, localDemand(bucket, now) + peerDemand(bucket, now)));
}

void refill(BucketEstimate &bucket, const manifest::Allowance &allowance, std::size_t vmCount, TimePoint now)
{
    if (!bucket.isInitialized) {
        bucket.isInitialized = true;
        bucket.level += InitialFraction * allowance.burst;
    }
    const double elapsed = std::max(0.0, seconds(now - bucket.updatedAt));
    bucket.updatedAt = now;
    bucket.vmCount = vmCount;
    bucket.level = std::min(allowance.burst, bucket.level + elapsed * allowance.perSecond);
    const double share = ownShare(bucket, vmCount, now) * allowance.perSecond;
    bucket.shareLevel = std::min(share * ShareBurstSeconds, bucket.shareLevel + elapsed * share);
}

void recordDemand(BucketEstimate &bucket, double amount, TimePoint now)
{
    bucket.demandPerSecond = localDemand(bucket, now) + amount / DemandAverageSeconds;
    bucket.demandUpdatedAt = now;
}

bool take(BucketEstimate &bucket, const manifest::Allowance &allowance, double amount, TimePoint now)
{
    const double available = availableLevel(bucket, now);
    // NOTE Decided by the level without the estimated use of peers since their last statuses. That estimate is made from their
    // demand, and at several times the limit would refuse a third of the small requests for tokens that were never taken.
    const bool isSmall = amount <= SmallRequestFraction * allowance.burst && bucket.level >= SmallRequestFloor * allowance.burst;
    if (isSmall) {
        bucket.level -= amount;
        bucket.taken += amount;
        return true;
    }
    if (isDiscoveringPeers(bucket, now) && !fitsInitialShares(bucket, allowance, amount)) {
        return false;
    }
    const bool isFull = available >= std::min(std::max(amount, FullFraction * allowance.burst), allowance.burst * 0.95);
    if (!isFull && (available < EmptyFraction * allowance.burst || !takeWhileLow(bucket, allowance, amount, now))) {
        return false;
    }
    bucket.level -= amount;
    bucket.taken += amount;
    return true;
}

Duration retryDelay(const BucketEstimate &bucket, const manifest::Allowance &allowance, std::size_t vmCount, TimePoint now)
{
    double wait = 0;
    if (isDiscoveringPeers(bucket, now) && vmCount >= ManyVms) {
        wait = seconds(bucket.startedAt + DiscoveryTime - now);
    } else if (hasGroupSummaries(bucket)) {
        const double shortfall = std::max(0.0, EmptyFraction * allowance.burst - availableLevel(bucket, now));
        const double untilAdmission = RetryUnitSeconds * (1 / std::max(1e-9, admittedFraction(bucket, allowance, now)) - 1);
        wait = std::max(shortfall / std::max(1e-9, allowance.perSecond), untilAdmission);
    } else {
        wait = std::max(0.0, -bucket.shareLevel / std::max(1e-9, ownShare(bucket, vmCount, now) * allowance.perSecond));
    }
    wait = std::min(wait, seconds(MaxRetryAfter));
    return std::clamp(Duration(static_cast<std::int64_t>(wait * MicrosecondsPerSecond)), MinRetryAfter, MaxRetryAfter);
}

void recordPeerUsage(BucketEstimate &bucket, const std::string &instance, PeerUsage use)
{
    const auto known = bucket.peers.find(instance);
    if (known == bucket.peers.end()) {
        bucket.level -= takenSince(use, bucket.startedAt);
        use.takenPerSecond = use.demandPerSecond;
        bucket.peers.emplace(instance, use);
        return;
    }
    const PeerUsage &before = known->second;
    const double passed = seconds(use.receivedAt - before.receivedAt);
    const bool isComparable = before.incarnation == use.incarnation;
    double taken = use.taken;
    if (isComparable) {
        taken = use.taken - before.taken;
        use.takenPerSecond = averagedRate(before.takenPerSecond, taken, passed);
    } else if (use.isGroup) {
        // The counter sums up other processes than before and can't be compared.
        use.takenPerSecond = before.takenPerSecond;
        taken = before.takenPerSecond * passed;
    }
    bucket.level -= taken;
    known->second = use;
}

void resetPeers(BucketEstimate &bucket, TimePoint now)
{
    bucket.peers.clear();
    bucket.startedAt = now;
}

} // namespace cardamomlift::allowance
