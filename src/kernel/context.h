#pragma once

#include <cstdlib>
#include <memory>
#include <typeindex>
#include <unordered_map>

namespace cardamomlift {

/// The service objects of one daemon, found by their interface type.
class Context
{
public:
    /// Publishes @p service under type T, replacing an earlier one.
    template<class T>
    void set(std::shared_ptr<T> service)
    {
        services_[std::type_index(typeid(T))] = std::move(service);
    }

    /// The service of type T, or null if no module has published one.
    template<class T>
    std::shared_ptr<T> find() const
    {
        const auto found = services_.find(std::type_index(typeid(T)));
        if (found == services_.end()) {
            return nullptr;
        }
        return std::static_pointer_cast<T>(found->second);
    }

    /// The service of type T. A missing one is a wrong dependency list, which ends the process.
    template<class T>
    std::shared_ptr<T> get() const
    {
        auto service = find<T>();
        if (!service) {
            std::abort();
        }
        return service;
    }

private:
    std::unordered_map<std::type_index, std::shared_ptr<void>> services_;
};

} // namespace cardamomlift
