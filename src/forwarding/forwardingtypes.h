#pragma once

#include "kernel/clock.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace cardamomlift::forwarding {

/// Why a request got an answer of this VM's own. One name each (reasonName()), one counter each.
enum class FailureReason {
    NoManifest, ///< This VM knows no declarations yet.
    StaleKeys, ///< What it knows of keys may be out of date.
    NoRoute,
    UnknownKey,
    OverAllowance, ///< The customer has used what it may.
    NoServer, ///< No backend server is known.
    ServersFull, ///< All backend servers refused.
    ServersLimited, ///< The limits that backend servers have named leave no room.
    RetryBudget, ///< It may run again, but another send would exceed what all VMs may repeat.
    OutOfTime, ///< The time limit came before an answer.
    AttemptsUsed, ///< It may run again, but as many sends as the route allows have failed.
    OutcomeUnknown, ///< The request may have run, and it may not run again.
    StreamBroken,
    Draining,
    Count
};

std::string_view reasonName(FailureReason reason);

/// How backend servers are reached and how often requests are repeated.
struct ForwardingSettings {
    std::string zone; ///< This VM's failure domain.
    Duration keysFreshFor = std::chrono::milliseconds(4500); ///< Keys are judged by knowledge younger than this.
    bool strictKeys = true; ///< Without it, known keys go on being served when knowledge grows old.
    double retryRatio = 0.2; ///< Repeats over first sends to a service, over all VMs.
    double retrySlack = 10; ///< And this many more in a window, over all VMs.
    Duration retryWindow = std::chrono::seconds(10);
};

} // namespace cardamomlift::forwarding
