#pragma once

#include "kernel/eventloop.h"
#include "kernel/module.h"
#include "settings/settingstypes.h"

#include <memory>
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
    void run();

private:
    Daemon() = default;
    void printPorts() const;
    void watchSignals();
    void applyContractFiles();
    SystemClock clock_;
    std::unique_ptr<EventLoop> loop_;
    Context context_;
    std::vector<std::unique_ptr<Module>> modules_;
};

} // namespace cardamomlift::daemon
