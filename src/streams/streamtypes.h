#pragma once

#include "engine/enginetypes.h"
#include "kernel/clock.h"
#include "metrics/reasons.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace cardamomlift::streams {

/// One try at a backend server.
struct Attempt {
    std::string server; ///< Instance.
    std::string engineRequestId; ///< "<request id>-<number>": identity of the attempt, never the address.
    bool isUnknownToServer = false; ///< The server no longer has the stream, which says nothing against the server.
};

/// All that is known of one model request; enough to go on with it on any VM.
struct StreamState {
    std::string requestId;
    std::string customer;
    std::string serviceClass;
    std::string model;
    std::string messagesJson;
    std::int64_t maxTokens = 0;
    std::uint64_t seed = 0;
    int priority = 0;
    std::uint64_t prefixHash = 0;
    std::vector<std::string> tokens; ///< Output so far; the index is the position.
    std::vector<Attempt> attempts;
    bool finished = false;
    std::string finishReason;
    std::int64_t promptTokens = 0;
    std::int64_t cachedTokens = 0;
    std::uint64_t generation = 1; ///< Counts changes of the VM that drives it.
    std::optional<TimePoint> firstTokenDeadline; ///< By this VM's clock: not told to other VMs, who get what was accepted only.
};

/// Why a request ended without a whole answer.
struct StreamFailure {
    metrics::RefusalReason reason = metrics::RefusalReason::RetriesExhausted;
    std::string message;
    Duration retryAfter = std::chrono::seconds(1);
};

/// What the reader of a request's answer hears, in order, from the position it asked for.
struct StreamObserver {
    std::function<void(std::uint64_t position, const std::string &text)> onToken;
    std::function<void()> onFinished;
    std::function<void(const StreamFailure &failure)> onFailed;
    /// Another reader takes over, here or at another VM; nothing more comes.
    std::function<void()> onReplaced;
};

} // namespace cardamomlift::streams
