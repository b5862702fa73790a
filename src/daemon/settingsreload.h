#pragma once

#include "kernel/context.h"
#include "kernel/eventloop.h"

#include <string>

namespace cardamomlift::daemon {

/// Applies changes of the settings file to a running daemon that forwards requests by routes: on SIGHUP, and when the
/// modification time of the file changes.
class SettingsReload
{
public:
    SettingsReload(EventLoop &loop, Context &context, std::string path);
    /// Reads the file and applies its limits. Changed addresses take effect only after a restart.
    void reload();

private:
    void checkFile();
    EventLoop &loop_;
    Context &context_;
    std::string path_;
    std::int64_t modifiedAt_ = 0; ///< Modification time of the file when it was last read, in nanoseconds; 0 if unknown.
};

} // namespace cardamomlift::daemon
