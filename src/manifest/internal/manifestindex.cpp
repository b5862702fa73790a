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

bool differsFrom(const Route &route, const Route &other, const std::string &service)
{
    return route.priority != other.priority
        && std::any_of(other.shares.begin(), other.shares.end(), [&service](const ServiceShare &share) { return share.service == service; });
}

bool differInPriority(const std::vector<Route> &routes, const std::string &service)
{
    const auto first = std::find_if(routes.begin(), routes.end(), [&service](const Route &route) {
        return std::any_of(route.shares.begin(), route.shares.end(), [&service](const ServiceShare &share) { return share.service == service; });
    });
    return std::any_of(first, routes.end(), [&](const Route &route) { return differsFrom(*first, route, service); });
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
    const std::vector<Customer> &customers = index->manifest_.customers;
    const bool customersDiffer = std::any_of(customers.begin(), customers.end(), [](const Customer &customer) { return customer.priority.has_value(); });
    for (const Service &service : index->manifest_.services) {
        index->services_.emplace(service.name, &service);
        if (customersDiffer || differInPriority(index->manifest_.routes, service.name)) {
            index->servicesWithPriorities_.insert(service.name);
        }
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

bool ManifestIndex::hasPriorities(std::string_view service) const
{
    return servicesWithPriorities_.contains(service);
}

const Service *ManifestIndex::service(std::string_view name) const
{
    const auto found = services_.find(name);
    return found == services_.end() ? nullptr : found->second;
}

} // namespace cardamomlift::manifest
