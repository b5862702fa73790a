#include "allowance/allowancelimiter.h"

#include "allowance/allowancerules.h"

#include <cmath>

namespace cardamomlift::allowance {

namespace {

/// The number of VMs that a new process assumes until it knows how many there are; it limits what that process takes.
constexpr std::size_t AssumedVmCount = 16;
constexpr int HashBits = 64;

} // namespace

AllowanceLimiter::AllowanceLimiter(EventLoop &loop, std::shared_ptr<presence::Presence> presence)
    : loop_(loop)
    , presence_(std::move(presence))
    , startedAt_(loop.now())
{
}

std::shared_ptr<AllowanceLimiter> AllowanceLimiter::create(EventLoop &loop, std::shared_ptr<presence::Presence> presence)
{
    std::shared_ptr<AllowanceLimiter> limiter(new AllowanceLimiter(loop, std::move(presence)));
    const std::weak_ptr<AllowanceLimiter> weak = limiter;
    limiter->presence_->addStatusContributor([weak](presence::Status &status) {
        if (const auto self = weak.lock()) {
            self->fillStatus(status);
        }
    });
    limiter->presence_->onStatus([weak](const presence::Status &status, std::optional<TimePoint>) {
        if (const auto self = weak.lock()) {
            self->applyStatus(status);
        }
    });
    limiter->presence_->onRegrouped([weak] {
        if (const auto self = weak.lock()) {
            self->resetPeers();
        }
    });
    return limiter;
}

BucketEstimate &AllowanceLimiter::bucketByName(const std::string &customer)
{
    return bucketByHash(presence::nameHash(customer));
}

// This VM took nothing before the customer's first request, so the bucket refills from the start of the process.
BucketEstimate &AllowanceLimiter::bucketByHash(std::uint64_t customer)
{
    const auto [entry, isNew] = buckets_.try_emplace(customer);
    if (isNew) {
        entry->second.startedAt = startedAt_;
        entry->second.updatedAt = startedAt_;
        entry->second.demandUpdatedAt = loop_.now();
        entry->second.admissionCredit = std::ldexp(static_cast<double>(customer ^ presence_->incarnation()), -HashBits);
    }
    return entry->second;
}

forwarding::AllowanceDecision AllowanceLimiter::take(const manifest::Customer &customer, std::int64_t amount)
{
    const TimePoint now = loop_.now();
    BucketEstimate &bucket = bucketByName(customer.name);
    const auto requested = static_cast<double>(amount);
    recordDemand(bucket, requested, now);
    const std::size_t vms = presence_->vmCount().value_or(AssumedVmCount);
    refill(bucket, customer.allowance, vms, now);
    forwarding::AllowanceDecision decision;
    decision.requested = amount;
    decision.remaining = static_cast<std::int64_t>(availableLevel(bucket, now));
    decision.limitPerSecond = static_cast<std::int64_t>(customer.allowance.perSecond);
    decision.localDemandPerSecond = static_cast<std::int64_t>(localDemand(bucket, now));
    decision.remoteDemandPerSecond = static_cast<std::int64_t>(peerDemand(bucket, now));
    decision.isAllowed = allowance::take(bucket, customer.allowance, requested, now);
    if (!decision.isAllowed) {
        decision.retryAfter = retryDelay(bucket, customer.allowance, vms, now);
    }
    return decision;
}

void AllowanceLimiter::refund(const manifest::Customer &customer, std::int64_t amount)
{
    BucketEstimate &bucket = bucketByName(customer.name);
    bucket.level += static_cast<double>(amount);
    bucket.taken -= static_cast<double>(amount);
}

void AllowanceLimiter::fillStatus(presence::Status &status)
{
    const TimePoint now = loop_.now();
    for (const auto &[customer, bucket] : buckets_) {
        status.demands.push_back({customer, localDemand(bucket, now), bucket.taken});
    }
}

void AllowanceLimiter::applyStatus(const presence::Status &status)
{
    const TimePoint now = loop_.now();
    for (const presence::CustomerDemand &demand : status.demands) {
        const bool isGroup = !status.summaryOf.empty();
        recordPeerUsage(
            bucketByHash(demand.customer), status.instance, {status.incarnation, demand.admittedTotal, demand.perSecond, now, status.uptime, isGroup});
    }
}

void AllowanceLimiter::resetPeers()
{
    for (auto &[customer, bucket] : buckets_) {
        allowance::resetPeers(bucket, loop_.now());
    }
}

} // namespace cardamomlift::allowance
