#pragma once

#include "kernel/clock.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cardamomlift::membership {

/// What a VM runs.
enum class VmRole {
    Entry, ///< Runs our daemon.
    Model, ///< A backend server that runs a model engine.
    Service, ///< A backend server that runs a plain service.
};

/// Where a VM stands in its life.
enum class VmState {
    Live,
    Leaving, ///< Reclaim or shutdown was announced. Never goes back to Live for the same instance.
    Gone,
};

/// One VM as the platform's list or another VM describes it. The instance is its identity; addresses are used again.
struct Vm {
    std::string instance;
    std::string address; ///< An IPv4 number.
    std::uint16_t port = 0; ///< Entry: callers. Backend: its requests.
    std::uint16_t peerPort = 0; ///< Entry only.
    std::string zone;
    std::string region;
    VmRole role = VmRole::Entry;
    VmState state = VmState::Live;
    std::vector<std::string> serves; ///< Names of models, or of the one service.
    std::string machineClass;
    std::int64_t microsPerHour = 0; ///< Price, in millionths of the currency.
    bool reclaimable = true;
    bool checksFencing = false; ///< The server refuses orders that carry an old fencing number.

    bool operator==(const Vm &other) const = default;
};

/// What showed that a VM is leaving.
enum class LeavingSource {
    Notice, ///< The VM itself was told, or a part of this daemon says so.
    List, ///< The platform's list.
    Answer, ///< The backend server refused a request because it is leaving.
    LoadReport, ///< The backend server's load report.
};

/// Why a VM counts as leaving. Marks are never taken back.
struct LeavingMark {
    LeavingSource source = LeavingSource::Notice;
    std::string reporter; ///< The entry VM that saw it first.
    WallTime seen; ///< By the reporter's clock.
    WallTime known; ///< When this VM learned it.
};

/// What the heartbeats say about an entry VM.
enum class Health {
    Alive,
    Suspected, ///< Some VM gets no answer, directly or through others.
    Failed, ///< Still no answer after the suspicion timeout.
};

std::string_view nameOf(LeavingSource source);
std::string_view nameOf(Health health);

} // namespace cardamomlift::membership
