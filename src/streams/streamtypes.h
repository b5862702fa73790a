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

/// One attempt to run a request at a backend server.
struct Attempt {
    std::string server; ///< Instance name.
    std::string engineRequestId; ///< "<request id>-<number>": identifies the attempt independently of the server's address.
    bool isUnknownToServer = false; ///< The server no longer has the stream. Not counted as a failure of the server.
};

/// Everything known of one model request: enough for any entry VM to continue it.
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
    std::vector<std::string> tokens; ///< Output so far; the index of a token is its position.
    std::vector<Attempt> attempts;
    bool finished = false;
    std::string finishReason;
    std::int64_t promptTokens = 0;
    std::int64_t cachedTokens = 0;
    std::uint64_t generation = 1; ///< Incremented each time another VM becomes the owner.
    std::optional<TimePoint> firstTokenDeadline; ///< By this VM's clock, so never sent to other VMs; those only get accepted requests.
};

/// Why a request ended without a complete answer.
struct StreamFailure {
    metrics::RefusalReason reason = metrics::RefusalReason::RetriesExhausted;
    std::string message;
    Duration retryAfter = std::chrono::seconds(1);
};

/// Callbacks for the reader of an answer. Tokens arrive in order, starting at the position that the reader asked for.
struct StreamObserver {
    std::function<void(std::uint64_t position, const std::string &text)> onToken;
    std::function<void()> onFinished;
    std::function<void(const StreamFailure &failure)> onFailed;
    /// Another reader has taken over, here or at another VM; no further callback follows.
    std::function<void()> onReplaced;
};

} // namespace cardamomlift::streams
