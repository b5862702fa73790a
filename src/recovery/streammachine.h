#pragma once

#include "engine/enginetypes.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace cardamomlift::recovery {

/// Identifies one attempt of a stream at one server. Not reused within a stream.
using AttemptId = std::uint64_t;
inline constexpr AttemptId NoAttempt = 0;

/// State machine of a stream that can move between servers; the functions below are its events.
///
/// The tokens of the current attempt are forwarded to the owner. A successor is an attempt started at another server, which
/// becomes current with its first token; until then the current attempt continues. While a move is being prepared, there is
/// no successor yet.
struct StreamMachine {
    std::uint64_t position = 0; ///< Position of the next token to forward.
    AttemptId current = NoAttempt;
    AttemptId successor = NoAttempt;
    bool isPreparing = false; ///< A move is being prepared.
    bool resumeTried = false; ///< A resume was tried since the last token of the current attempt.
    bool ended = false;
};

/// Actions to take in response to an event, in this order.
struct StreamActions {
    std::vector<AttemptId> cancel; ///< Attempts to cancel at their engines, so that they are not charged for.
    bool forward = false; ///< Forward the token to the owner.
    bool switched = false; ///< The successor has become the current attempt.
    bool resume = false; ///< Resume the current attempt's stream at position.
    bool prepareMove = false;
    std::optional<engine::StreamEnd> end; ///< The stream has ended for its owner.
};

StreamActions onToken(StreamMachine &machine, AttemptId attempt, std::uint64_t position);
/// The connection of @p attempt ended. Not to be called for attempts that were cancelled by StreamActions::cancel.
StreamActions onAttemptEnd(StreamMachine &machine, AttemptId attempt, engine::StreamEnd end);
/// @p attempt has produced no token for too long.
StreamActions onStalled(StreamMachine &machine, AttemptId attempt);
/// The server of the current attempt is leaving and the stream won't finish in time.
StreamActions onMoveWanted(StreamMachine &machine);
/// The move is prepared: @p successor was started, or is NoAttempt if no server can take the stream.
StreamActions onMovePrepared(StreamMachine &machine, AttemptId successor);
/// The owner cancels the stream.
StreamActions onCancel(StreamMachine &machine);

} // namespace cardamomlift::recovery
