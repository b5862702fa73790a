#pragma once

#include "balancing/balancingtypes.h"

#include <optional>
#include <span>

namespace cardamomlift::balancing {

/// The estimated number of requests at a server, running or queued. A fresh load report covers the requests of all VMs.
double estimatedOpenRequests(const ServerLoad &load, const ChoiceParameters &parameters, TimePoint now);

/// The pace that the choice goes by: bounded, and 1 if it can't be true or is close to 1.
double effectivePace(double pace, bool hasPrompt, const ChoiceParameters &parameters);

/// The number of waiting prompt tokens that cost as much as a server whose slots are all in use. @p prefillTokensPerSecond: 0 if not known.
double tokensPerFullServer(double prefillTokensPerSecond, const ChoiceParameters &parameters);

/// Ranks servers for one affinity key by rendezvous hashing. All VMs get the same ranks; the highest are its affinity servers.
class RendezvousRanker
{
public:
    explicit RendezvousRanker(std::string_view affinity);
    std::uint64_t rank(std::string_view instance) const;

private:
    std::uint64_t seed_;
};

/// Returns the index of the server to send the request to, or an empty value if there are no candidates. If a prefix of its
/// prompt is cached anywhere, or it has no affinity, this is the server with the lowest cost. Otherwise requests with the same
/// affinity go to the same few servers from all VMs, with no communication between these, unless those servers cost more than
/// the cheapest one by over affinityCostMargin. Where servers work at different paces, one of the cheapest takes the place of the
/// cheapest one, and more servers serve an affinity that many requests have; see ChoiceParameters::unknownCost.
std::optional<std::size_t> choose(std::span<const Candidate> candidates, const ChoiceInput &input, const ChoiceParameters &parameters, TimePoint now);

} // namespace cardamomlift::balancing
