#pragma once

#include "balancing/balancingtypes.h"

#include <optional>
#include <span>

namespace cardamomlift::balancing {

/// The requests that a server is believed to hold now.
double estimatedOpenRequests(const ServerLoad &load, const ChoiceParameters &figures, TimePoint now);

/// Ranks servers for requests of one affinity, the same on all VMs; the highest are its homes.
class RendezvousRanker
{
public:
    explicit RendezvousRanker(std::string_view affinity);
    std::uint64_t rank(std::string_view instance) const;

private:
    std::uint64_t seed_;
};

/// The index of the server that shall get the request; empty if there is none. Where the beginning of its prompt is cached
/// somewhere, it is the server with the least work before its first token; else requests of one affinity go to the same
/// few servers on all VMs, without a word between them, unless those hold much more than the others.
std::optional<std::size_t> choose(std::span<const Candidate> candidates, const ChoiceInput &input, const ChoiceParameters &figures, TimePoint now);

} // namespace cardamomlift::balancing
