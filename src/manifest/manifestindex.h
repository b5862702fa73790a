#pragma once

#include "manifest/manifesttypes.h"

#include <memory>
#include <string_view>
#include <unordered_map>
#include <unordered_set>

namespace cardamomlift::manifest {

/// A manifest with indexes for the lookups of each request. Immutable, so that a request keeps the version it began with.
class ManifestIndex
{
public:
    static std::shared_ptr<const ManifestIndex> create(Manifest manifest);

    const Manifest &manifest() const;
    /// The route at @p host (which may include a port) whose path prefix is the longest match for @p target (which may include
    /// a query); null if there is none.
    const Route *route(std::string_view host, std::string_view target) const;
    /// The customer that the API key @p key belongs to; null if there is none.
    const Customer *customerByKey(std::string_view key) const;
    const Service *service(std::string_view name) const;
    /// Whether requests for the service differ in priority: by their routes, or by customers that have one of their own.
    bool hasPriorities(std::string_view service) const;

private:
    ManifestIndex() = default;
    Manifest manifest_;
    std::unordered_map<std::string, const Route *> routes_; ///< By lower-case host followed by the path prefix.
    std::unordered_map<std::string_view, const Customer *> customersByKey_;
    std::unordered_map<std::string_view, const Service *> services_;
    std::unordered_set<std::string_view> servicesWithPriorities_;
};

using ManifestPtr = std::shared_ptr<const ManifestIndex>;

} // namespace cardamomlift::manifest
