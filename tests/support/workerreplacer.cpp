#include "support/workerreplacer.h"

#include <fmt/format.h>

namespace cardamomlift::test {

namespace {

/// Three heartbeats of silence.
constexpr milliseconds UnlistedAfter(3600);

} // namespace

WorkerReplacer::WorkerReplacer(RouteFleet &fleet, milliseconds replacedAfter)
    : fleet_(fleet)
    , replacedAfter_(replacedAfter)
{
}

WorkerReplacer::Changes WorkerReplacer::update(TimePoint now)
{
    Changes changes;
    for (const std::string &instance : fleet_.workerNames()) {
        if (fleet_.worker(instance).isRunning()) {
            continue;
        }
        changes.ended.push_back({instance, fleet_.worker(instance).wait()});
        replacements_.push_back(now + replacedAfter_);
        unlistings_.emplace_back(now + UnlistedAfter, instance);
        fleet_.dropEndedWorker(instance);
    }
    while (!replacements_.empty() && replacements_.front() <= now) {
        replacements_.erase(replacements_.begin());
        changes.started.push_back(fmt::format("replacement-{}", replaced_++));
        fleet_.addWorker(changes.started.back());
    }
    while (!unlistings_.empty() && unlistings_.front().first <= now) {
        fleet_.unlistWorker(unlistings_.front().second);
        unlistings_.erase(unlistings_.begin());
    }
    return changes;
}

} // namespace cardamomlift::test
