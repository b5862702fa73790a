#pragma once

#include "allowance/allowancetypes.h"

namespace cardamomlift::allowance {

/// What the customer is thought to have left now, over all VMs.
double availableLevel(const Account &account, TimePoint now);
/// The part of the refill that this VM may use while the bucket runs low: its part of what is asked.
double ownShare(const Account &account, std::size_t vmCount, TimePoint now);
/// The part of what the customer asks of all VMs that the refill of its bucket covers.
double fittingPart(const Account &account, const manifest::Allowance &allowance, TimePoint now);
/// Brings the levels up to @p now.
void refill(Account &account, const manifest::Allowance &allowance, std::size_t vmCount, TimePoint now);
/// What this VM's callers ask in a second, as of @p now.
double askedNow(const Account &account, TimePoint now);
/// What the callers of the other VMs ask in a second, as these said lately.
double peersAskedNow(const Account &account, TimePoint now);
/// Counts what was asked, let through or not.
void noteAsked(Account &account, double amount, TimePoint now);
/// Takes @p amount if there is room; call refill() first. From a full bucket anyone takes. From a low one each VM of few takes
/// its share, and each VM of many lets the same part of its requests through, so that VMs whose news of each other is some
/// tenths of a second old do not take the same rest twice. Small requests pass where long ones wait, within a bounded debt.
bool take(Account &account, const manifest::Allowance &allowance, double amount, TimePoint now);
/// When take() may succeed again.
Duration timeUntilRoom(const Account &account, const manifest::Allowance &allowance, std::size_t vmCount, TimePoint now);
/// A peer's status came, or a group's summary.
void notePeer(Account &account, const std::string &instance, PeerUse use);
/// The VMs tell of themselves in other groups from now on: what is known to be taken stays, counters begin anew.
void forgetPeers(Account &account, TimePoint now);

} // namespace cardamomlift::allowance
