#include "manifest/manifestindex.h"

#include <algorithm>
#include <cctype>

namespace cardamomlift::manifest {

namespace {

std::string lowerHost(std::string_view host)
{
    std::string lower(host.substr(0, host.find(':')));
    std::transform(lower.begin(), lower.end(), lower.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return lower;
}

} // namespace

std::shared_ptr<const ManifestIndex> ManifestIndex::create(Manifest manifest)
{
    std::shared_ptr<ManifestIndex> index(new ManifestIndex);
    index->manifest_ = std::move(manifest);
    for (const Route &route : index->manifest_.routes) {
        index->routes_.emplace(lowerHost(route.host) + route.prefix, &route);
    }
    for (const Customer &customer : index->manifest_.customers) {
        for (const std::string &key : customer.keys) {
            index->customersByKey_.emplace(key, &customer);
        }
    }
    for (const Service &service : index->manifest_.services) {
        index->services_.emplace(service.name, &service);
    }
    return index;
}

const Manifest &ManifestIndex::manifest() const
{
    return manifest_;
}

const Route *ManifestIndex::route(std::string_view host, std::string_view target) const
{
    std::string key = lowerHost(host);
    const std::size_t hostSize = key.size();
    key += target.substr(0, target.find_first_of("?#"));
    // Prefixes end with a slash, so only substrings up to a slash can match. The longest one is tried first.
    while (key.size() > hostSize) {
        const auto slash = key.rfind('/');
        if (slash == std::string::npos || slash < hostSize) {
            return nullptr;
        }
        key.resize(slash + 1);
        const auto found = routes_.find(key);
        if (found != routes_.end()) {
            return found->second;
        }
        key.resize(slash);
    }
    return nullptr;
}

const Customer *ManifestIndex::customerByKey(std::string_view key) const
{
    const auto found = customersByKey_.find(key);
    return found == customersByKey_.end() ? nullptr : found->second;
}

const Service *ManifestIndex::service(std::string_view name) const
{
    const auto found = services_.find(name);
    return found == services_.end() ? nullptr : found->second;
}

} // namespace cardamomlift::manifest
