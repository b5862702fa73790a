#pragma once

#include <cstdint>
#include <random>
#include <span>
#include <string>
#include <vector>

namespace cardamomlift::routing {

using Random = std::minstd_rand;

/// The servers of one model or service on a consistent-hash ring. All VMs that know the same servers find the same ones near
/// a prefix without communicating.
class ServerRing
{
public:
    /// Servers are identified by their index in @p instances.
    static ServerRing create(std::span<const std::string> instances);

    std::size_t size() const;
    /// Returns up to @p count distinct servers near @p prefixHash, nearest first. Costs O(log size).
    std::vector<std::size_t> nearest(std::uint64_t prefixHash, std::size_t count) const;

private:
    struct Point {
        std::uint64_t hash = 0;
        std::uint32_t server = 0;
    };
    ServerRing() = default;
    std::vector<Point> points_;
    std::size_t size_ = 0;
};

/// The servers that one decision considers: those near the prefix, then some random ones. All servers if there are few.
struct Sample {
    std::vector<std::size_t> servers;
    std::size_t prefixServerCount = 0; ///< Number of servers near the prefix, at the front of servers, nearest first.
};

Sample sampleServers(const ServerRing &ring, std::uint64_t prefixHash, Random &random);

/// Returns the share of a prompt that is probably cached at the server with the given @p rank of nearness to it, if there is
/// no observation: other VMs send the same prefix there too.
double expectedCachedShare(std::size_t rank);

} // namespace cardamomlift::routing
