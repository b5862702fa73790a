#pragma once

#include "contract/contracttypes.h"
#include "limits/limittypes.h"

#include <span>

namespace cardamomlift::limits::wire {
class GrantAsk;
class GrantReply;
} // namespace cardamomlift::limits::wire

namespace cardamomlift::limits {

/// A customer may send a second's worth of requests, or a minute's worth of tokens, at once.
BucketRate requestRate(const contract::Limits &limits);
BucketRate tokenRate(const contract::Limits &limits);
/// The part of @p rate that a VM may use alone while it can't reach the grantor, so that the sum over @p vms holds.
BucketRate evenShare(const BucketRate &rate, std::size_t vms);

void refill(Bucket &bucket, const BucketRate &rate, TimePoint now);
/// Time until @p amount is in the bucket; 0 if it never will be.
Duration timeUntil(const Bucket &bucket, const BucketRate &rate, double amount);

/// The entry VM that grants the limits of @p customer: the highest hash of the pair (rendezvous hashing), so a VM that
/// comes or goes moves only its own customers. Empty if @p instances is.
std::string_view grantorOf(std::string_view customer, std::span<const std::string> instances);

/// Takes what @p ask wants out of @p pool as far as it is there: what is needed first, and ahead of need only from
/// plenty.
wire::GrantReply grantFrom(GrantPool &pool, const contract::Limits &limits, const std::string &instance, const wire::GrantAsk &request, TimePoint now);

} // namespace cardamomlift::limits
