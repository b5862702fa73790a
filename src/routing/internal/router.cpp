#include "routing/router.h"

#include <algorithm>

namespace cardamomlift::routing {

std::shared_ptr<Router> Router::create(std::shared_ptr<membership::Members> members)
{
    std::shared_ptr<Router> router(new Router);
    router->members_ = std::move(members);
    return router;
}

std::optional<membership::Vm> Router::choose(const RouteQuestion &question)
{
    const auto candidates = members_->backends(question.role, question.name);
    const membership::Vm *best = nullptr;
    for (const membership::Vm &vm : candidates) {
        if (std::find(question.exclude.begin(), question.exclude.end(), vm.instance) != question.exclude.end()) {
            continue;
        }
        if (!best || inFlight_[vm.instance] < inFlight_[best->instance]) {
            best = &vm;
        }
    }
    if (!best) {
        return std::nullopt;
    }
    return *best;
}

void Router::started(const std::string &instance)
{
    inFlight_[instance]++;
}

void Router::finished(const std::string &instance, AttemptEnd)
{
    const auto found = inFlight_.find(instance);
    if (found == inFlight_.end()) {
        return;
    }
    if (--found->second == 0) {
        inFlight_.erase(found);
    }
}

} // namespace cardamomlift::routing
