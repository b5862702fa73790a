#include "streams/streamdecision.h"

#include "text/digest.h"

#include <fmt/format.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace cardamomlift::streams {

namespace {

constexpr char Separator = '~';
constexpr std::size_t IdPartCount = 4;
constexpr std::string_view IdPrefix = "req-";

std::vector<std::string> split(std::string_view text)
{
    std::vector<std::string> parts;
    while (true) {
        const auto end = text.find(Separator);
        parts.emplace_back(text.substr(0, end));
        if (end == std::string_view::npos) {
            return parts;
        }
        text.remove_prefix(end + 1);
    }
}

/// A candidate to hold copies, with its sort keys.
struct Candidate {
    int distance = 0; ///< 0 is best.
    std::uint64_t weight = 0; ///< Rendezvous hash of home and candidate.
    std::string instance;
};

/// Of two owners, the one with the higher precedence stays. NOTE Two VMs can become owners with the same generation, one
/// through the home VM and one through the holder of the copy. The owner's name breaks the tie; without it, each could make the
/// other stop.
std::pair<std::uint64_t, std::string_view> precedence(const ReplicaInfo &info)
{
    return {info.generation, info.owner};
}

} // namespace

std::string makeRequestId(std::string_view unique, const RequestIdParts &parts)
{
    return fmt::format("{}{}{}{}{}{}{}{}", IdPrefix, unique, Separator, parts.home, Separator, parts.homeZone, Separator, parts.holder);
}

std::optional<RequestIdParts> parseRequestId(std::string_view requestId)
{
    const auto parts = split(requestId);
    if (!requestId.starts_with(IdPrefix) || parts.size() != IdPartCount || parts[1].empty()) {
        return std::nullopt;
    }
    return RequestIdParts{parts[1], parts[2], parts[3]};
}

std::vector<std::string> rankCopyHolders(std::string_view home, std::string_view homeZone, std::span<const membership::Vm> entries)
{
    std::string region;
    for (const membership::Vm &vm : entries) {
        if (vm.zone == homeZone) {
            region = vm.region;
        }
    }
    std::vector<Candidate> candidates;
    for (const membership::Vm &vm : entries) {
        if (vm.role != membership::VmRole::Entry || vm.state != membership::VmState::Live || vm.instance == home) {
            continue;
        }
        const int sameRegion = region.empty() || vm.region == region ? 0 : 1;
        const int distance = vm.zone == homeZone ? 2 : sameRegion;
        candidates.push_back({distance, text::stableHash(vm.instance, text::stableHash(home)), vm.instance});
    }
    std::sort(candidates.begin(), candidates.end(), [](const Candidate &a, const Candidate &b) {
        return std::tie(a.distance, a.weight, a.instance) < std::tie(b.distance, b.weight, b.instance);
    });
    std::vector<std::string> ranked;
    ranked.reserve(candidates.size());
    for (Candidate &candidate : candidates) {
        ranked.push_back(std::move(candidate.instance));
    }
    return ranked;
}

TakeoverDecision decideTakeover(const ReplicaInfo *local, bool isTakingOver, const TakeoverRequest &request)
{
    if (isTakingOver) {
        return {TakeoverVerdict::Busy, {}};
    }
    if (!local) {
        return {TakeoverVerdict::Unknown, {}};
    }
    const bool isOwnerExcluded = std::find(request.excluded.begin(), request.excluded.end(), local->owner) != request.excluded.end();
    if (local->role == ReplicaRole::Owner || local->owner == request.requester || isOwnerExcluded) {
        return {TakeoverVerdict::HandOver, {}};
    }
    return {TakeoverVerdict::Redirect, local->owner};
}

ReplicaInfo afterHandover(const ReplicaInfo &local, const std::string &requester)
{
    ReplicaInfo after = local;
    after.role = ReplicaRole::Copy;
    if (local.role == ReplicaRole::Owner || local.owner != requester) {
        after.generation++;
    }
    after.owner = requester;
    return after;
}

bool isNewer(const ReplicaInfo *local, const ReplicaInfo &offered)
{
    if (!local || precedence(offered) > precedence(*local)) {
        return true;
    }
    return precedence(offered) == precedence(*local) && local->role == ReplicaRole::Copy && offered.tokens >= local->tokens;
}

std::string ownerToNotify(const ReplicaInfo *replaced, const ReplicaInfo &stored)
{
    // The first owner, the home VM, is notified by the new owner itself.
    const bool wasMoved = replaced && replaced->role == ReplicaRole::Copy && replaced->generation > 1;
    return wasMoved && replaced->owner != stored.owner ? replaced->owner : std::string();
}

bool isSuperseded(const ReplicaInfo *local, const ReplicaInfo &offered)
{
    return local && local->owner != offered.owner && precedence(*local) > precedence(offered);
}

TakeoverSearch::TakeoverSearch(std::string self, std::vector<std::string> candidates)
    : self_(std::move(self))
{
    for (std::string &candidate : candidates) {
        const bool isKnown = std::find(queue_.begin(), queue_.end(), candidate) != queue_.end();
        if (!candidate.empty() && !isKnown) {
            queue_.push_back(std::move(candidate));
        }
    }
}

std::optional<std::string> TakeoverSearch::next()
{
    if (queue_.empty() || queries_ >= MaxQueries) {
        return std::nullopt;
    }
    queries_++;
    std::string instance = std::move(queue_.front());
    queue_.erase(queue_.begin());
    return instance;
}

void TakeoverSearch::exclude(const std::string &instance)
{
    if (!isExcluded(instance)) {
        excluded_.push_back(instance);
    }
}

void TakeoverSearch::redirect(const std::string &instance, const std::string &owner)
{
    redirected_.insert(instance);
    if (redirected_.contains(owner)) {
        // Two VMs name each other, since a message between them was lost: the VM named here is not the owner.
        exclude(owner);
    }
    // Query the owner next. If it does not have the request, query the VM that redirected us again: it then hands over its copy.
    std::erase_if(queue_, [&](const std::string &queued) { return queued == owner || queued == instance; });
    queue_.insert(queue_.begin(), instance);
    if (!isExcluded(owner)) {
        queue_.insert(queue_.begin(), owner);
    }
}

const std::vector<std::string> &TakeoverSearch::excluded() const
{
    return excluded_;
}

bool TakeoverSearch::isExcluded(const std::string &instance) const
{
    return std::find(excluded_.begin(), excluded_.end(), instance) != excluded_.end();
}

} // namespace cardamomlift::streams
