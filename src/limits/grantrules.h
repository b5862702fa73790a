#pragma once

#include "contract/contracttypes.h"
#include "limits/limittypes.h"

#include <span>

namespace cardamomlift::limits::wire {
class GrantAsk;
class GrantReply;
} // namespace cardamomlift::limits::wire

namespace cardamomlift::limits {

/// Bucket parameters of requestsPerSecond and tokensPerMinute. A burst may use the requests of one second, or the tokens of
/// one minute.
BucketRate requestRate(const contract::Limits &limits);
BucketRate tokenRate(const contract::Limits &limits);
/// The even share of @p rate that each of @p vms VMs may use without a grantor, so that their sum stays within the limit.
BucketRate evenShare(const BucketRate &rate, std::size_t vms);

void refill(Bucket &bucket, const BucketRate &rate, TimePoint now);
/// Returns the time until the bucket holds @p amount; 0 if it never will.
Duration timeUntil(const Bucket &bucket, const BucketRate &rate, double amount);

/// Returns the entry VM that grants the quota of @p customer; empty if @p instances is empty. Rendezvous hashing chooses it,
/// so that only the customers of a VM that is added or removed change their grantor.
std::string_view grantorOf(std::string_view customer, std::span<const std::string> instances);

/// Answers the grant request of @p instance from @p pool. Grants what is needed as far as available, and prefetches only a
/// part of what is left.
wire::GrantReply grantFrom(GrantPool &pool, const contract::Limits &limits, const std::string &instance, const wire::GrantAsk &request, TimePoint now);

} // namespace cardamomlift::limits
