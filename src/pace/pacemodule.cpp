#include "kernel/module.h"
#include "kernel/runtime.h"
#include "pace/pacetracker.h"
#include "presence/presence.h"

namespace cardamomlift::pace {

namespace {

constexpr Duration TickPeriod = std::chrono::milliseconds(500);

/// Learns how fast each backend server works.
class PaceModule : public Module
{
public:
    std::string_view name() const override
    {
        return "pace";
    }

    ModuleUse use() const override
    {
        return ModuleUse::Routes;
    }

    std::vector<std::string_view> dependencies() const override
    {
        return {"presence"};
    }

    Result<void> start(Context &context) override
    {
        EventLoop *loop = context.get<Runtime>()->loop;
        const auto presence = context.get<presence::Presence>();
        const auto tracker = PaceTracker::create(*loop);
        context.set(tracker);
        presence->addStatusContributor([tracker](presence::Status &status) {
            status.paces = tracker->pacesToShare();
            status.firstBytes = tracker->firstBytesToShare();
        });
        presence->onStatus([tracker](const presence::Status &status, std::optional<TimePoint>) {
            if (!status.isPartial) {
                tracker->applyPeer(status);
            }
        });
        loop->every(TickPeriod, [tracker] { tracker->tick(); });
        return success();
    }
};

const ModuleRegistration<PaceModule> Registration;

} // namespace

} // namespace cardamomlift::pace
