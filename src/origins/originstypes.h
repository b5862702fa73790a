#pragma once

#include "http1/http1types.h"
#include "kernel/clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cardamomlift::origins {

/// Identifies one version of the software of one service's backend servers, the same on all VMs.
using SoftwareId = std::uint64_t;
/// Identifies a stream by the customer and the caller's attempt that brought its first event, the same on all VMs.
using StreamId = std::uint64_t;

/// @p version: as in the servers' entries; empty if they name none.
SoftwareId softwareId(std::string_view service, std::string_view version);
/// @p customer: empty if the request has none.
StreamId streamId(std::string_view customer, std::string_view request);

/// Which software began a stream.
struct StreamOrigin {
    StreamId stream = 0;
    SoftwareId software = 0;
    Duration age{0}; ///< Time since the stream began, or was last resumed.
};

/// An entry VM, which keeps origins for others.
struct OriginVm {
    std::string instance;
    std::string zone; ///< Its failure domain.
    http1::Endpoint endpoint; ///< Where it receives datagrams about origins.
    std::uint64_t incarnation = 0; ///< Identifies its process, which remembers nothing of the one before.

    bool operator==(const OriginVm &) const = default;
};

/// How the origin of a stream was found.
enum class OriginSource {
    Own, ///< This VM knew it.
    Peer, ///< Another VM that was asked knew it.
    OnlyVersion, ///< Nobody knew it, but the service's servers have had only one version since before the stream can have begun.
    Store, ///< Nobody knew it, but it stands in the store.
    Unknown, ///< All VMs that should know it have answered that they don't.
    Unanswered, ///< Nobody knew it, and some VMs have not answered.
};

std::string_view originSourceName(OriginSource source);

/// The answer to the question for a stream's origin.
struct FoundOrigin {
    OriginSource source = OriginSource::Unknown;
    std::optional<SoftwareId> software; ///< Empty if it is not known.
    Duration age{0}; ///< As StreamOrigin::age; 0 if only the version is known.
};

/// Origins are kept for this long after a stream has begun or was last resumed: longer than callers try to resume one.
inline constexpr Duration OriginLifetime = std::chrono::seconds(60);

} // namespace cardamomlift::origins
