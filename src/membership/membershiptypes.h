#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace cardamomlift::membership {

enum class VmRole {
    Entry, ///< Runs our daemon.
    Model, ///< A backend server that runs a model engine.
    Service, ///< A backend server that runs a plain service.
};

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

} // namespace cardamomlift::membership
