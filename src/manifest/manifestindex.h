#pragma once

#include "manifest/manifesttypes.h"

#include <memory>
#include <string_view>
#include <unordered_map>

namespace cardamomlift::manifest {

/// A manifest with what is looked up for each request. Never changes, so that a request keeps the version it began with.
class ManifestIndex
{
public:
    static std::shared_ptr<const ManifestIndex> create(Manifest manifest);

    const Manifest &manifest() const;
    /// The route with the longest prefix of @p target (a path, perhaps with a query) at @p host (perhaps with a port); null
    /// if there is none.
    const Route *route(std::string_view host, std::string_view target) const;
    /// The customer that holds @p key; null if none does.
    const Customer *customerByKey(std::string_view key) const;
    const Service *service(std::string_view name) const;

private:
    ManifestIndex() = default;
    Manifest manifest_;
    std::unordered_map<std::string, const Route *> routes_; ///< By host, in lower case, and prefix.
    std::unordered_map<std::string_view, const Customer *> customersByKey_;
    std::unordered_map<std::string_view, const Service *> services_;
};

using ManifestPtr = std::shared_ptr<const ManifestIndex>;

} // namespace cardamomlift::manifest
