#pragma once

#include "kernel/context.h"
#include "kernel/eventloop.h"

#include <string>

namespace cardamomlift::daemon {

/// Applies a changed settings file to a daemon that serves routes: at SIGHUP, and when the file is seen to differ.
class SettingsReload
{
public:
    SettingsReload(EventLoop &loop, Context &context, std::string path);
    /// Reads the file now. Bounds take effect; addresses need a restart.
    void reload();

private:
    void checkFile();
    EventLoop &loop_;
    Context &context_;
    std::string path_;
    std::int64_t modifiedAt_ = 0; ///< Nanoseconds; of the file as it was read last.
};

} // namespace cardamomlift::daemon
