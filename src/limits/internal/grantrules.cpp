#include "limits/grantrules.h"

#include "limits/limits.pb.h"
#include "text/digest.h"

#include <algorithm>
#include <cmath>

namespace cardamomlift::limits {

namespace {

constexpr double SecondsPerMinute = 60;
constexpr double MicrosecondsPerSecond = 1e6;
constexpr double PrefetchDivisor = 4; ///< A VM may prefetch at most a quarter of what is left.
constexpr std::int64_t ScarceSlotsDivisor = 2; ///< With less than half of the slots free, VMs keep no spare ones.

std::int64_t grantAmount(Bucket &bucket, std::int64_t needed, std::int64_t ahead)
{
    const auto available = static_cast<std::int64_t>(std::floor(std::max(0.0, bucket.level)));
    const std::int64_t grantedForNeed = std::clamp<std::int64_t>(needed, 0, available);
    const auto maxAhead = static_cast<std::int64_t>((static_cast<double>(available - grantedForNeed)) / PrefetchDivisor);
    const std::int64_t granted = grantedForNeed + std::clamp<std::int64_t>(ahead, 0, maxAhead);
    bucket.level -= static_cast<double>(granted);
    return granted;
}

void refund(Bucket &bucket, const BucketRate &rate, std::int64_t amount)
{
    bucket.level = std::min(rate.capacity, bucket.level + static_cast<double>(std::max<std::int64_t>(0, amount)));
}

void grantSlots(GrantPool &pool, std::int64_t limit, const std::string &instance, const wire::GrantAsk &request, wire::GrantReply &reply)
{
    SlotHolder &requester = pool.holders[instance];
    requester.held = request.open_held();
    std::int64_t held = 0;
    for (const auto &[name, holder] : pool.holders) {
        held += holder.held;
    }
    const std::int64_t free = std::max<std::int64_t>(0, limit - held);
    const std::int64_t granted = std::clamp<std::int64_t>(request.open_needed(), 0, free);
    requester.held += granted;
    reply.set_open(granted);
    reply.set_open_tight((free - granted) * ScarceSlotsDivisor < limit);
}

} // namespace

BucketRate requestRate(const contract::Limits &limits)
{
    const auto perSecond = static_cast<double>(limits.requestsPerSecond);
    return {perSecond, perSecond};
}

BucketRate tokenRate(const contract::Limits &limits)
{
    const auto perMinute = static_cast<double>(limits.tokensPerMinute);
    return {perMinute / SecondsPerMinute, perMinute};
}

BucketRate evenShare(const BucketRate &rate, std::size_t vms)
{
    const auto parts = static_cast<double>(std::max<std::size_t>(1, vms));
    return {rate.perSecond / parts, rate.capacity <= 0 ? 0 : std::max(1.0, rate.capacity / parts)};
}

void refill(Bucket &bucket, const BucketRate &rate, TimePoint now)
{
    const double seconds = static_cast<double>((now - bucket.updatedAt).count()) / MicrosecondsPerSecond;
    bucket.level = std::min(rate.capacity, bucket.level + std::max(0.0, seconds) * rate.perSecond);
    bucket.updatedAt = now;
}

Duration timeUntil(const Bucket &bucket, const BucketRate &rate, double amount)
{
    if (rate.perSecond <= 0 || amount > rate.capacity) {
        return Duration(0);
    }
    const double missing = std::max(0.0, amount - bucket.level);
    return Duration(static_cast<std::int64_t>(std::ceil(missing / rate.perSecond * MicrosecondsPerSecond)) + 1);
}

std::string_view grantorOf(std::string_view customer, std::span<const std::string> instances)
{
    std::string_view best;
    std::uint64_t bestHash = 0;
    const std::uint64_t seed = text::stableHash(customer);
    for (const std::string &instance : instances) {
        const std::uint64_t hash = text::stableHash(instance, seed);
        if (best.empty() || hash > bestHash) {
            best = instance;
            bestHash = hash;
        }
    }
    return best;
}

wire::GrantReply grantFrom(GrantPool &pool, const contract::Limits &limits, const std::string &instance, const wire::GrantAsk &request, TimePoint now)
{
    wire::GrantReply reply;
    SlotHolder &holder = pool.holders[instance];
    if (request.sequence() <= holder.sequence) {
        return reply;
    }
    holder.sequence = request.sequence();
    reply.set_granting(true);
    const BucketRate requests = requestRate(limits);
    const BucketRate tokens = tokenRate(limits);
    refill(pool.requests, requests, now);
    refill(pool.tokens, tokens, now);
    refund(pool.requests, requests, request.requests_returned());
    refund(pool.tokens, tokens, request.tokens_returned());
    reply.set_requests(grantAmount(pool.requests, request.requests_needed(), request.requests_ahead()));
    reply.set_tokens(grantAmount(pool.tokens, request.tokens_needed(), request.tokens_ahead()));
    grantSlots(pool, limits.openRequests, instance, request, reply);
    reply.set_requests_wait_us(timeUntil(pool.requests, requests, 1).count());
    const auto tokensMissing = static_cast<double>(std::max<std::int64_t>(0, request.tokens_needed() - reply.tokens()));
    reply.set_tokens_wait_us(timeUntil(pool.tokens, tokens, tokensMissing).count());
    return reply;
}

} // namespace cardamomlift::limits
