#pragma once

#include "daemon/settingsreload.h"
#include "kernel/eventloop.h"
#include "kernel/module.h"
#include "settings/settingstypes.h"

#include <memory>
#include <string>
#include <vector>

namespace cardamomlift::daemon {

/// A daemon: the event loop, the modules and the services that they provide.
class Daemon
{
public:
    /// Starts all registered modules. Fails if one of them does not start.
    static Result<std::unique_ptr<Daemon>> create(settings::Settings settings);
    ~Daemon();

    /// Prints the ready line on standard output and runs until a drain, which SIGTERM or SIGINT starts, is complete.
    /// @p settingsFile: the file that the settings come from, to be read again when it changes; empty: there is none.
    void run(const std::string &settingsFile);

private:
    Daemon() = default;
    void printReadyLine() const;
    void watchSignals(const std::string &settingsFile);
    void applyContractFiles();
    SystemClock clock_;
    std::unique_ptr<EventLoop> loop_;
    Context context_;
    std::unique_ptr<SettingsReload> reload_;
    std::vector<std::unique_ptr<Module>> modules_;
};

} // namespace cardamomlift::daemon
