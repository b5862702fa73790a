#include "daemon/settingsreload.h"

#include "daemon/settingsfile.h"
#include "eventlog/eventlog.h"
#include "forwarding/routegateway.h"

#include <sys/stat.h>

namespace cardamomlift::daemon {

namespace {

using eventlog::Attribute;
using eventlog::Event;

/// How often the file is checked for changes that no SIGHUP announces.
constexpr Duration CheckPeriod = std::chrono::seconds(1);
constexpr std::int64_t NanosecondsPerSecond = 1'000'000'000;

std::int64_t modificationTime(const std::string &path)
{
    struct stat status {
    };
    if (::stat(path.c_str(), &status) != 0) {
        return 0;
    }
    return status.st_mtim.tv_sec * NanosecondsPerSecond + status.st_mtim.tv_nsec;
}

} // namespace

SettingsReload::SettingsReload(EventLoop &loop, Context &context, std::string path)
    : loop_(loop)
    , context_(context)
    , path_(std::move(path))
    , modifiedAt_(modificationTime(path_))
{
    loop_.every(CheckPeriod, [this] { checkFile(); });
}

void SettingsReload::checkFile()
{
    if (modificationTime(path_) != modifiedAt_) {
        reload();
    }
}

void SettingsReload::reload()
{
    modifiedAt_ = modificationTime(path_);
    const auto log = context_.get<eventlog::EventLog>();
    Findings findings;
    const auto settings = readSettingsFile(path_, findings);
    if (!settings || !settings->routes) {
        log->write(Event::ReloadFailed,
            {{Attribute::Reason, findings.empty() ? "the file has no settings of a daemon that forwards by routes" : findings.front().message}});
        return;
    }
    context_.get<forwarding::RouteGateway>()->applySettings(*settings->routes);
    log->write(Event::Reloaded, {});
}

} // namespace cardamomlift::daemon
