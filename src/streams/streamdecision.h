#pragma once

#include "membership/membershiptypes.h"

#include <cstdint>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cardamomlift::streams {

/// The VMs encoded in a request id, at which the request can be found.
struct RequestIdParts {
    std::string home; ///< Instance of the entry VM that accepted the request.
    std::string homeZone;
    std::string holder; ///< Instance chosen to hold the first copy; empty if there was none.
};

/// "req-<unique>~<home>~<zone>~<holder>". Names of instances and zones contain no '~'.
std::string makeRequestId(std::string_view unique, const RequestIdParts &parts);
/// Empty if @p requestId was not made by makeRequestId().
std::optional<RequestIdParts> parseRequestId(std::string_view requestId);

/// The VMs that may hold copies for @p home, best first: other zones of its region, then other regions, then its own zone.
/// VMs that are leaving are left out. VMs with the same list of VMs compute the same order.
std::vector<std::string> rankCopyHolders(std::string_view home, std::string_view homeZone, std::span<const membership::Vm> entries);

/// The role of a VM for one request.
enum class ReplicaRole {
    Owner, ///< Reads the engine's stream and serves the caller.
    Copy, ///< Holds a copy, possibly out of date; another VM is or was the owner.
};

/// A VM's view of a request: role, owner and progress. VMs compare these to decide which state is newer.
struct ReplicaInfo {
    ReplicaRole role = ReplicaRole::Copy;
    std::string owner; ///< Owner as far as this VM knows.
    std::uint64_t generation = 1; ///< Incremented with each change of owner.
    std::uint64_t tokens = 0; ///< Tokens of output so far.
};

/// A VM asks to become the owner, since the caller resumed the stream there.
struct TakeoverRequest {
    std::string requester;
    std::span<const std::string> excluded; ///< VMs that did not answer the requester, or do not have the request.
};

/// Answer to a TakeoverRequest.
enum class TakeoverVerdict {
    Unknown, ///< The asked VM does not have the request.
    HandOver, ///< The requester becomes the owner.
    Redirect, ///< Another VM is the owner.
    Busy, ///< The asked VM is itself taking over the request.
};

/// A verdict and, for a redirect, the owner.
struct TakeoverDecision {
    TakeoverVerdict verdict = TakeoverVerdict::Unknown;
    std::string owner; ///< Set for Redirect.
};

/// Answers a TakeoverRequest. @p local is null if this VM does not have the request.
TakeoverDecision decideTakeover(const ReplicaInfo *local, bool isTakingOver, const TakeoverRequest &request);
/// What a VM keeps after it handed the request over to @p requester. Idempotent: a second handover to the same requester has
/// no effect.
ReplicaInfo afterHandover(const ReplicaInfo &local, const std::string &requester);
/// Whether a received copy replaces what this VM has.
bool isNewer(const ReplicaInfo *local, const ReplicaInfo &offered);
/// The previous owner, to which a newly stored copy is forwarded since it may still run the request; empty if there is none.
std::string ownerToNotify(const ReplicaInfo *replaced, const ReplicaInfo &stored);
/// Whether the sender of a copy must stop running the request, since this VM knows of an owner with higher precedence.
bool isSuperseded(const ReplicaInfo *local, const ReplicaInfo &offered);

/// Search for the owner of a request, on the requester's side: decides which VM to query next.
class TakeoverSearch
{
public:
    static constexpr std::size_t MaxQueries = 8;

    TakeoverSearch(std::string self, std::vector<std::string> candidates);
    /// The next VM to query, or none if the search is over. May be the requester itself, for its local copy.
    std::optional<std::string> next();
    /// @p instance did not answer, or does not have the request.
    void exclude(const std::string &instance);
    /// @p instance answered that @p owner owns the request.
    void redirect(const std::string &instance, const std::string &owner);
    const std::vector<std::string> &excluded() const;

private:
    bool isExcluded(const std::string &instance) const;
    std::string self_;
    std::vector<std::string> queue_; ///< The first one is next.
    std::vector<std::string> excluded_;
    std::set<std::string> redirected_; ///< VMs that named another owner.
    std::size_t queries_ = 0;
};

} // namespace cardamomlift::streams
