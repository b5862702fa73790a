#pragma once

#include "engine/enginetypes.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace cardamomlift::recovery {

/// One attempt of a stream at one server; numbers are never used twice in a stream.
using LegId = std::uint64_t;
inline constexpr LegId NoLeg = 0;

/// Where a stream stands that may move between servers.
///
/// The leg that is current is the one whose tokens are passed on. A successor was started at another server and becomes
/// current with its first token; until then the current one goes on. While a move is being prepared there is no successor
/// yet.
struct StreamMachine {
    std::uint64_t position = 0; ///< Of the next token wanted.
    LegId current = NoLeg;
    LegId successor = NoLeg;
    bool isPreparing = false;
    bool resumeTried = false; ///< Since the last token of the current leg.
    bool ended = false;
};

/// What follows from an event, to be carried out in this order.
struct StreamStep {
    std::vector<LegId> cancel; ///< At their engines, so that nobody pays for them.
    bool forward = false; ///< Pass the token on.
    bool switched = false; ///< The successor has become the current leg.
    bool resume = false; ///< Join the current leg's stream again, at position.
    bool prepareMove = false;
    std::optional<engine::StreamEnd> end; ///< The stream is over for its owner.
};

StreamStep onToken(StreamMachine &machine, LegId leg, std::uint64_t position);
/// The connection of @p leg ended. Whoever closes a leg for a cancel step does not report its end.
StreamStep onLegEnd(StreamMachine &machine, LegId leg, engine::StreamEnd end);
/// @p leg has been silent for too long.
StreamStep onStalled(StreamMachine &machine, LegId leg);
/// The current leg's server is leaving and the stream won't finish there.
StreamStep onMoveWanted(StreamMachine &machine);
/// The move is prepared: @p successor was started, or NoLeg if no server can take it.
StreamStep onMovePrepared(StreamMachine &machine, LegId successor);
/// The owner gives the stream up.
StreamStep onCancel(StreamMachine &machine);

} // namespace cardamomlift::recovery
