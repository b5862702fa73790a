#include "kernel/module.h"
#include "kernel/runtime.h"
#include "manifest/manifestcache.h"
#include "metrics/metrics.h"

namespace cardamomlift::manifest {

namespace {

/// Age of the active manifest for the metric; -1 if it was never confirmed.
double ageSeconds(const ManifestCache &cache, TimePoint now)
{
    const auto age = cache.age(now);
    return age ? std::chrono::duration<double>(*age).count() : -1;
}

class ManifestModule : public Module
{
public:
    std::string_view name() const override
    {
        return "manifest";
    }

    ModuleUse use() const override
    {
        return ModuleUse::Routes;
    }

    std::vector<std::string_view> dependencies() const override
    {
        return {"metrics"};
    }

    Result<void> start(Context &context) override
    {
        const auto cache = ManifestCache::create();
        const auto metrics = context.get<metrics::Metrics>();
        metrics->gauge("manifest_version", [cache] { return cache->current() ? static_cast<double>(cache->current()->manifest().version) : 0.0; });
        EventLoop *loop = context.get<Runtime>()->loop;
        metrics->gauge("manifest_age_seconds", [cache, loop] { return ageSeconds(*cache, loop->now()); });
        context.set(cache);
        return success();
    }
};

const ModuleRegistration<ManifestModule> Registration;

} // namespace

} // namespace cardamomlift::manifest
