#pragma once

#include "kernel/clock.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace cardamomlift::forwarding {

/// Why this VM answered a request itself instead of forwarding a backend server's answer. Each reason has a name
/// (reasonName()) that labels its counter.
enum class FailureReason {
    NoManifest, ///< This VM has not received a manifest yet.
    StaleKeys, ///< The manifest, with its routes and keys, may be out of date.
    NoRoute,
    UnknownKey,
    OverAllowance, ///< The customer's allowance is used up.
    NoServer, ///< No backend server is known.
    ServersFull, ///< All backend servers refused.
    ServersLimited, ///< The rate limits advertised by the backend servers leave no room.
    ServersBackingOff, ///< All backend servers that are left have turned requests of this VM away and accept none for some time.
    RetryBudget, ///< The request may be retried, but the retry budget is used up.
    OutOfTime, ///< The time limit expired before an answer came.
    AttemptsUsed, ///< The request may be retried, but has failed as often as the route allows.
    OutcomeUnknown, ///< The request may have run and must not be retried.
    StreamBroken,
    CrashesServers, ///< The request crashes the servers that run it, and is blocked.
    CrashCauseUnknown, ///< The request may have crashed servers; until this is decided it does not run.
    Draining,
    CutOff, ///< This VM reaches no backend server, and the request has been handed over to it by another VM.
    OriginUnknown, ///< It is not known which software began the stream that the caller resumes.
    OriginGone, ///< No server is left with the software that has begun the stream.
    NoRoom, ///< The service has less room than is asked for, and more urgent requests, or other customers, get it.
    ManifestBehind, ///< The VM that has handed the request over has a newer manifest.
    Count
};

std::string_view reasonName(FailureReason reason);

/// Settings of the forwarder: freshness of keys, and limits on retries.
struct ForwardingSettings {
    std::string instance; ///< This VM.
    std::string zone; ///< This VM's failure domain.
    Duration maxKeyAge = std::chrono::milliseconds(4500); ///< Greatest age of a manifest that keys are checked against.
    bool strictKeys = true; ///< If false, known keys are also accepted while the manifest is older than maxKeyAge.
    double retryRatio = 0.2; ///< Retries allowed per first attempt to a service, over all VMs.
    double retrySlack = 10; ///< Retries allowed on top of these per retryWindow, over all VMs.
    Duration retryWindow = std::chrono::seconds(10);
};

} // namespace cardamomlift::forwarding
