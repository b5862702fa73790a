#include "routing/serverring.h"

#include "text/digest.h"

#include <algorithm>
#include <array>

namespace cardamomlift::routing {

namespace {

constexpr std::size_t PointsPerServer = 16;
constexpr std::size_t PrefixServers = 3;
constexpr std::size_t RandomServers = 3;
constexpr std::array<double, PrefixServers> ShareByRank{0.6, 0.4, 0.25};

void addOnce(std::vector<std::size_t> &servers, std::size_t server)
{
    if (std::find(servers.begin(), servers.end(), server) == servers.end()) {
        servers.push_back(server);
    }
}

} // namespace

ServerRing ServerRing::create(std::span<const std::string> instances)
{
    ServerRing ring;
    ring.size_ = instances.size();
    ring.points_.reserve(instances.size() * PointsPerServer);
    for (std::size_t i = 0; i < instances.size(); i++) {
        for (std::size_t point = 0; point < PointsPerServer; point++) {
            ring.points_.push_back({text::stableHash(instances[i], point), static_cast<std::uint32_t>(i)});
        }
    }
    std::sort(ring.points_.begin(), ring.points_.end(), [](const Point &a, const Point &b) { return a.hash < b.hash; });
    return ring;
}

std::size_t ServerRing::size() const
{
    return size_;
}

std::vector<std::size_t> ServerRing::nearest(std::uint64_t prefixHash, std::size_t count) const
{
    std::vector<std::size_t> servers;
    const std::size_t wanted = std::min(count, size_);
    auto point = std::lower_bound(points_.begin(), points_.end(), prefixHash, [](const Point &a, std::uint64_t hash) { return a.hash < hash; });
    for (std::size_t passed = 0; servers.size() < wanted && passed < points_.size(); passed++) {
        if (point == points_.end()) {
            point = points_.begin();
        }
        addOnce(servers, point->server);
        ++point;
    }
    return servers;
}

Sample sampleServers(const ServerRing &ring, std::uint64_t prefixHash, Random &random)
{
    Sample sample;
    if (prefixHash != 0) {
        sample.servers = ring.nearest(prefixHash, PrefixServers);
        sample.prefixServerCount = sample.servers.size();
    }
    const std::size_t wanted = std::min(ring.size(), sample.prefixServerCount + RandomServers);
    if (wanted == ring.size()) {
        for (std::size_t i = 0; i < ring.size(); i++) {
            addOnce(sample.servers, i);
        }
        return sample;
    }
    std::uniform_int_distribution<std::size_t> pick(0, ring.size() - 1);
    while (sample.servers.size() < wanted) {
        addOnce(sample.servers, pick(random));
    }
    return sample;
}

double expectedCachedShare(std::size_t rank)
{
    return rank < ShareByRank.size() ? ShareByRank[rank] : 0;
}

} // namespace cardamomlift::routing
