#pragma once

#include <cstdint>
#include <random>
#include <span>
#include <string>
#include <vector>

namespace cardamomlift::routing {

using Random = std::minstd_rand;

/// Servers of one model on a consistent-hash ring. Every VM that knows the same servers finds the same ones near a
/// prefix, without a message.
class ServerRing
{
public:
    /// Servers are known by their index in @p instances from here on.
    static ServerRing create(std::span<const std::string> instances);

    std::size_t size() const;
    /// Up to @p count different servers near @p prefixHash, nearest first. Costs O(log size).
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

/// The servers one decision looks at: first those near the prefix, then some at random. All of them when there are few.
struct Sample {
    std::vector<std::size_t> servers;
    std::size_t prefixServerCount = 0; ///< The first so many are near the prefix, nearest first.
};

Sample sampleServers(const ServerRing &ring, std::uint64_t prefixHash, Random &random);

/// What share of a prompt is likely cached at the server that is @p rank-th nearest to it, when nothing else is known:
/// the other VMs send the same prefix there too.
double expectedCachedShare(std::size_t rank);

} // namespace cardamomlift::routing
