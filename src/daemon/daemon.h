#pragma once

#include "daemon/settingsreload.h"
#include "kernel/eventloop.h"
#include "kernel/module.h"
#include "settings/settingstypes.h"

#include <memory>
#include <string>
#include <vector>

namespace cardamomlift::daemon {

/// One daemon: the loop, the modules and their services.
class Daemon
{
public:
    /// Starts all registered modules. Fails with the first module that does not start.
    static Result<std::unique_ptr<Daemon>> create(settings::Settings settings);
    ~Daemon();

    /// Prints the ready line on standard output and runs until drained by SIGTERM or SIGINT.
    /// @p settingsFile: where the settings came from, to be read again at SIGHUP; empty: nowhere.
    void run(const std::string &settingsFile);

private:
    Daemon() = default;
    void printPorts() const;
    void watchSignals(const std::string &settingsFile);
    void applyContractFiles();
    SystemClock clock_;
    std::unique_ptr<EventLoop> loop_;
    Context context_;
    std::unique_ptr<SettingsReload> reload_;
    std::vector<std::unique_ptr<Module>> modules_;
};

} // namespace cardamomlift::daemon
