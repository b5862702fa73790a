#pragma once

#include "kernel/eventloop.h"

namespace cardamomlift {

/// The loop of the daemon, as the modules find it in the Context.
struct Runtime {
    EventLoop *loop = nullptr;
};

} // namespace cardamomlift
