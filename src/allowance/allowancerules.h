#pragma once

#include "allowance/allowancetypes.h"

namespace cardamomlift::allowance {

/// Returns the estimated level of the customer's bucket, after what all VMs have taken.
double availableLevel(const BucketEstimate &bucket, TimePoint now);
/// Returns the fraction of the refill that this VM may use while the bucket runs low: its fraction of the demand at all VMs.
double ownShare(const BucketEstimate &bucket, std::size_t vmCount, TimePoint now);
/// Returns the fraction of the customer's demand at all VMs that the refill of its bucket covers.
double admittedFraction(const BucketEstimate &bucket, const manifest::Allowance &allowance, TimePoint now);
/// Refills the bucket and this VM's share up to @p now.
void refill(BucketEstimate &bucket, const manifest::Allowance &allowance, std::size_t vmCount, TimePoint now);
/// Returns what this VM's callers request per second, as of @p now.
double localDemand(const BucketEstimate &bucket, TimePoint now);
/// Returns what the callers of the other VMs request per second, from recent statuses.
double peerDemand(const BucketEstimate &bucket, TimePoint now);
/// Adds a request to the local demand, whether it is admitted or not.
void recordDemand(BucketEstimate &bucket, double amount, TimePoint now);
/// Takes @p amount if the request is admitted; call refill() first. From a full bucket, any VM can take. While it runs low, few
/// VMs take their shares of the refill, and many VMs admit the same fraction of their requests, so that VMs whose statuses are
/// some tenths of a second old don't take the same remainder twice. Small requests are admitted where long ones have to wait,
/// up to a bounded debt.
bool take(BucketEstimate &bucket, const manifest::Allowance &allowance, double amount, TimePoint now);
/// Returns the time after which take() can succeed again.
Duration retryDelay(const BucketEstimate &bucket, const manifest::Allowance &allowance, std::size_t vmCount, TimePoint now);
/// Applies a status of another VM, or the summary of a group.
void recordPeerUsage(BucketEstimate &bucket, const std::string &instance, PeerUsage use);
/// Drops the known peers after the VMs were divided into other groups. What they have taken stays deducted from the level.
void resetPeers(BucketEstimate &bucket, TimePoint now);

} // namespace cardamomlift::allowance
