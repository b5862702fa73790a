#pragma once

#include "membership/members.h"
#include "routing/routingtypes.h"

#include <memory>
#include <optional>
#include <unordered_map>

namespace cardamomlift::routing {

/// Chooses the backend server of each attempt and keeps what this VM knows of their load.
class Router
{
public:
    static std::shared_ptr<Router> create(std::shared_ptr<membership::Members> members);

    /// A live server, or none. Does not count it as in flight yet.
    std::optional<membership::Vm> choose(const RouteQuestion &question);
    /// An attempt at @p instance starts.
    void started(const std::string &instance);
    /// It ended. Call once for each started().
    void finished(const std::string &instance, AttemptEnd end);

private:
    Router() = default;
    std::shared_ptr<membership::Members> members_;
    std::unordered_map<std::string, std::size_t> inFlight_;
};

} // namespace cardamomlift::routing
