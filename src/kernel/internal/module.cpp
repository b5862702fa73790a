#include "kernel/module.h"

#include <algorithm>
#include <set>
#include <string>

namespace cardamomlift {

namespace {

std::vector<ModuleFactory> &factories()
{
    static std::vector<ModuleFactory> list;
    return list;
}

bool isReady(const Module &module, const std::set<std::string> &started)
{
    const auto names = module.dependencies();
    return std::all_of(names.begin(), names.end(), [&](std::string_view name) { return started.contains(std::string(name)); });
}

bool isPartOf(const Module &module, Gateway gateway)
{
    const ModuleUse use = module.use();
    return use == ModuleUse::Both || (use == ModuleUse::Routes) == (gateway == Gateway::Routes);
}

} // namespace

ModuleUse Module::use() const
{
    return ModuleUse::Chat;
}

void Module::stop(Context &)
{
}

void registerModule(ModuleFactory factory)
{
    factories().push_back(factory);
}

Result<std::vector<std::unique_ptr<Module>>> createModules(Gateway gateway)
{
    std::vector<std::unique_ptr<Module>> waiting;
    for (const ModuleFactory factory : factories()) {
        auto module = factory();
        if (isPartOf(*module, gateway)) {
            waiting.push_back(std::move(module));
        }
    }
    std::sort(waiting.begin(), waiting.end(), [](const auto &a, const auto &b) { return a->name() < b->name(); });
    std::vector<std::unique_ptr<Module>> ordered;
    std::set<std::string> started;
    while (!waiting.empty()) {
        const auto next = std::find_if(waiting.begin(), waiting.end(), [&](const auto &module) { return isReady(*module, started); });
        if (next == waiting.end()) {
            return failure(ErrorKind::Internal, "module " + std::string(waiting.front()->name()) + " depends on a missing module or on itself");
        }
        started.emplace((*next)->name());
        ordered.push_back(std::move(*next));
        waiting.erase(next);
    }
    return ordered;
}

} // namespace cardamomlift
