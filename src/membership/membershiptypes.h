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

/// The lifecycle state of a VM.
enum class VmState {
    Live,
    Leaving, ///< Reclaim or shutdown was announced. Never goes back to Live for the same instance.
    Gone,
};

/// One VM as described by the platform's list or by another VM. The instance is its identity; addresses are reused.
struct Vm {
    std::string instance;
    std::string address; ///< A numeric IPv4 address.
    std::uint16_t port = 0; ///< Where an entry VM accepts callers, or a backend server requests.
    std::uint16_t peerPort = 0; ///< Where an entry VM accepts connections of other entry VMs. Entry only.
    std::string zone;
    std::string region;
    VmRole role = VmRole::Entry;
    VmState state = VmState::Live;
    std::vector<std::string> serves; ///< Names of models, or of the one service.
    std::string machineClass;
    std::int64_t microsPerHour = 0; ///< Price, in millionths of the currency.
    bool reclaimable = true; ///< The platform may reclaim the VM.
    bool checksFencing = false; ///< The server refuses orders that carry an outdated fencing token.

    bool operator==(const Vm &other) const = default;
};

/// How it became known that a VM is leaving.
enum class LeavingSource {
    Notice, ///< The VM itself received a notice, or another module of the daemon reported it.
    List, ///< The platform's list shows it as leaving.
    Answer, ///< The backend server refused a request because it is leaving.
    LoadReport, ///< The backend server's load report says so.
};

/// Why a VM counts as leaving. Marks are never revoked.
struct LeavingMark {
    LeavingSource source = LeavingSource::Notice;
    std::string reporter; ///< The entry VM that made the mark.
    WallTime seen; ///< When the reporter made it, by its own clock.
    WallTime known; ///< When this VM learned it.
};

/// The health of an entry VM as reported by the heartbeats.
enum class Health {
    Alive,
    Suspected, ///< Some VM gets no answer from it, neither directly nor through other VMs.
    Failed, ///< Still no answer after the suspicion timeout.
};

std::string_view nameOf(LeavingSource source);
std::string_view nameOf(Health health);

} // namespace cardamomlift::membership
