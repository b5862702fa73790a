#pragma once

#include "kernel/clock.h"

#include <cstddef>
#include <string_view>

namespace cardamomlift::clientbudget {

/// What all client connections of a process may hold together.
struct ClientLimits {
    std::size_t bytes = 64u << 20; ///< Memory: requests, bytes read ahead, answers, and what handlers keep for open requests.
    std::size_t descriptors = 3000; ///< File descriptors: of the connections, and of those that open requests need to servers.
};

/// What a connection is doing, which decides whether it may be closed in favour of others.
enum class Activity {
    Waiting, ///< No request is open: the client is between two requests, or has not sent a byte yet.
    Receiving, ///< A request has begun and is not complete.
    Serving, ///< A complete request is being answered.
    Sending, ///< An answer, or a part of one, has not been read by the client yet.
};

std::string_view activityName(Activity activity);

/// What one connection holds.
struct ConnectionUse {
    Activity activity = Activity::Waiting;
    std::size_t bytes = 0;
    std::size_t descriptors = 1;
    TimePoint since; ///< When the activity began.
};

/// What is used up, and why a connection is therefore closed.
enum class Shortage { Memory, Descriptors };

std::string_view shortageName(Shortage shortage);

} // namespace cardamomlift::clientbudget
