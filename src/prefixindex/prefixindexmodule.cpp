#include "kernel/module.h"
#include "kernel/runtime.h"
#include "metrics/metrics.h"
#include "prefixindex/prefixindex.h"
#include "presence/presence.h"

namespace cardamomlift::prefixindex {

namespace {

constexpr Duration TickPeriod = std::chrono::milliseconds(500);

class PrefixIndexModule : public Module
{
public:
    std::string_view name() const override
    {
        return "prefixindex";
    }

    ModuleUse use() const override
    {
        return ModuleUse::Routes;
    }

    std::vector<std::string_view> dependencies() const override
    {
        return {"presence", "metrics"};
    }

    Result<void> start(Context &context) override
    {
        EventLoop *loop = context.get<Runtime>()->loop;
        const auto presence = context.get<presence::Presence>();
        const auto index = PrefixIndex::create(*loop);
        presence->addStatusContributor([index](presence::Status &status) { status.prefixes = index->usesToShare(); });
        presence->onStatus([index](const presence::Status &status, std::optional<TimePoint>) { index->applyPeerUses(status.prefixes); });
        loop->every(TickPeriod, [index] { index->tick(); });
        context.get<metrics::Metrics>()->gauge("prompt_prefixes_known", [index] { return static_cast<double>(index->size()); });
        context.set(index);
        return success();
    }
};

const ModuleRegistration<PrefixIndexModule> Registration;

} // namespace

} // namespace cardamomlift::prefixindex
