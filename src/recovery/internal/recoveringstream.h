#pragma once

#include "engine/engineclient.h"
#include "kernel/eventloop.h"
#include "membership/members.h"
#include "metrics/metrics.h"
#include "recovery/recoveryestimates.h"
#include "recovery/recoverytypes.h"
#include "recovery/streammachine.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace cardamomlift::recovery {

/// Servers at which a stream stalled in the middle of its answer, with the time. Cleared by any token of the server.
using StalledServers = std::map<std::string, TimePoint>;

/// Dependencies of a RecoveringStream; shared by all streams of a client.
struct StreamTools {
    EventLoop *loop = nullptr;
    std::shared_ptr<engine::EngineClient> direct;
    std::shared_ptr<membership::Members> members;
    std::shared_ptr<metrics::Metrics> metrics;
    std::shared_ptr<RecoveryEstimates> estimates;
    std::shared_ptr<StalledServers> stalledServers;
    std::function<void()> onTransferEnded; ///< Called when a transfer has ended, so that another stream may start one.
};

/// One stream of a RecoveringClient: carries out the actions of its StreamMachine.
class RecoveringStream : public std::enable_shared_from_this<RecoveringStream>
{
public:
    /// @p onEnded is called when the stream has ended, just before hooks.onEnd.
    RecoveringStream(StreamTools tools, engine::EngineHooks hooks, std::function<void()> onEnded);

    void start(const membership::Vm &server, const engine::EngineRequest &request);
    void join(const membership::Vm &server, const std::string &requestId, std::uint64_t position);
    void cancel();
    /// Ends the stream here, but leaves the attempt that was chosen last running at its engine.
    void disconnect();
    /// Instance of the current server; empty if there is none.
    std::string server() const;
    void checkStall();
    /// Restarts the stall timer: this process was paused, so the time without tokens says nothing about the server.
    void resetStallTimer();
    /// Prepares a move if needed: the current server is leaving and will be gone in @p left.
    void checkReclaim(Duration left);

private:
    /// An attempt at one server.
    struct Attempt {
        membership::Vm server;
        std::string requestId;
        http::CallId call = 0;
        std::uint64_t connection = 0; ///< Number of the connection whose events are handled; 0: none.
        RecoveryMethod method = RecoveryMethod::Stay; ///< Why it was started; Stay for the first attempt.
        engine::EngineRequest request; ///< Of an attempt that is not started yet.
        std::int64_t continuedTokens = 0; ///< Output tokens that the request continued from.
        std::int64_t estimatedPrefillTokens = 0; ///< Counted in prefillTokensInFlight until the first token.
        std::int64_t uncachedTokens = 0; ///< Prefilled before the first token, as reported by the engine.
        TimePoint startedAt{};
        engine::EngineResult result; ///< Result of its last connection.
        bool hasEnded = false;
        bool hasToken = false;
        bool hasUsage = false;
    };
    AttemptId addAttempt(const membership::Vm &server, const std::string &requestId, RecoveryMethod method);
    void startAttempt(AttemptId id, const engine::EngineRequest &request);
    engine::EngineHooks connectionHooks(AttemptId id);
    Attempt *findActive(AttemptId id, std::uint64_t connection);
    void handleToken(AttemptId id, const engine::Token &token);
    void handleUsage(AttemptId id, std::int64_t promptTokens, std::int64_t cachedTokens);
    void handleEnd(AttemptId id, const engine::EngineResult &result);
    void handleStall(AttemptId id);
    void recordToken(Attempt &attempt);
    Duration currentStallLimit(const Attempt &attempt) const;
    void apply(const StreamActions &actions);
    void cancelAttempt(AttemptId id);
    void removeAttempt(AttemptId id, engine::StreamEnd end);
    void resumeCurrent();
    void prepareMove();
    void exportKvFrom(AttemptId from, AttemptId to);
    void importKvInto(AttemptId to, const std::string &fromRequestId, std::string cache, TimePoint since, std::int64_t concurrentBytes);
    void startSuccessor(AttemptId id, const std::string &kvFrom);
    void endTransfer(std::int64_t bytes);
    void finish(engine::StreamEnd end);
    RecoveryInputs inputs(Duration left) const;
    std::int64_t contextTokens() const;
    StreamTools tools_;
    engine::EngineHooks hooks_;
    std::function<void()> onEnded_;
    StreamMachine machine_;
    std::map<AttemptId, Attempt> attempts_;
    AttemptId nextAttempt_ = 1;
    AttemptId preparedAttempt_ = NoAttempt; ///< The attempt at the next server, not started yet.
    AttemptId eventSource_ = NoAttempt; ///< Attempt whose event is being handled.
    std::uint64_t nextConnection_ = 1;
    std::int64_t promptTokens_ = 0;
    std::int64_t maxTokens_ = 0; ///< 0 if unknown.
    RecoveryMethod moveMethod_ = RecoveryMethod::Recompute; ///< Of the move in preparation.
    int failedMoves_ = 0; ///< Since the stream last switched to a successor.
    Duration betweenTokens_{0};
    TimePoint lastProgressAt_{};
    bool isExporting_ = false; ///< The current attempt's cache is being exported for preparedAttempt_.
    bool isResuming_ = false; ///< Resumed, and no token received yet.
};

} // namespace cardamomlift::recovery
