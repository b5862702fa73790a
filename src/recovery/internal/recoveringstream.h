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

/// Servers that a stream in the middle of its answer found silent, since when; a token of theirs clears them.
using SilentServers = std::map<std::string, TimePoint>;

/// What a stream works with; shared by all streams of a client.
struct StreamTools {
    EventLoop *loop = nullptr;
    std::shared_ptr<engine::EngineClient> direct;
    std::shared_ptr<membership::Members> members;
    std::shared_ptr<metrics::Metrics> metrics;
    std::shared_ptr<RecoveryEstimates> estimates;
    std::shared_ptr<SilentServers> silentServers;
    std::function<void()> lookAgain; ///< A transfer has ended: another stream may start one.
};

/// One stream of a RecoveringClient: carries out the steps of its StreamMachine.
class RecoveringStream : public std::enable_shared_from_this<RecoveringStream>
{
public:
    /// @p forget is called when the stream has ended.
    RecoveringStream(StreamTools tools, engine::EngineHooks hooks, std::function<void()> forget);

    void start(const membership::Vm &server, const engine::EngineRequest &request);
    void join(const membership::Vm &server, const std::string &requestId, std::uint64_t position);
    void cancel();
    /// Ends here; the attempt that was chosen last goes on at its engine.
    void leave();
    /// Instance of the current server; empty if there is none.
    std::string server() const;
    void checkSilence();
    /// This process itself was paused: the silence until now is no sign.
    void forgiveSilence();
    /// The current server is leaving and gone in @p left.
    void checkReclaim(Duration left);

private:
    /// One attempt at one server.
    struct Leg {
        membership::Vm server;
        std::string requestId;
        http::CallId call = 0;
        std::uint64_t connection = 0; ///< Number of the connection we listen to; 0: none.
        RecoveryMethod method = RecoveryMethod::Stay; ///< How it came to be; Stay: the first attempt.
        engine::EngineRequest request; ///< Of a leg that waits to be started.
        std::int64_t continuedTokens = 0;
        std::int64_t prefillGuess = 0; ///< Counted in prefillTokensInFlight until the first token.
        std::int64_t uncachedTokens = 0; ///< Computed before the first token, as the engine said.
        TimePoint startedAt{};
        engine::EngineResult result; ///< Of its last connection.
        bool hasEnded = false;
        bool hasToken = false;
        bool hasUsage = false;
    };
    LegId addLeg(const membership::Vm &server, const std::string &requestId, RecoveryMethod method);
    void startLeg(LegId id, const engine::EngineRequest &request);
    engine::EngineHooks connectionHooks(LegId id);
    Leg *listening(LegId id, std::uint64_t connection);
    void legToken(LegId id, const engine::Token &token);
    void legUsage(LegId id, std::int64_t promptTokens, std::int64_t cachedTokens);
    void legEnd(LegId id, const engine::EngineResult &result);
    void legStalled(LegId id);
    void noteToken(Leg &leg);
    Duration silenceLimit(const Leg &leg) const;
    void apply(const StreamStep &step);
    void cancelLeg(LegId id);
    void dropLeg(LegId id, engine::StreamEnd end);
    void resumeCurrent();
    void prepareMove();
    void exportFrom(LegId from, LegId to);
    void importInto(LegId to, const std::string &fromRequestId, std::string cache, TimePoint since, std::int64_t beside);
    void startSuccessor(LegId id, const std::string &kvFrom);
    void endTransfer(std::int64_t bytes);
    void finish(engine::StreamEnd end);
    RecoveryInputs inputs(Duration left) const;
    std::int64_t tokensKnown() const;
    StreamTools tools_;
    engine::EngineHooks hooks_;
    std::function<void()> forget_;
    StreamMachine machine_;
    std::map<LegId, Leg> legs_;
    LegId nextLeg_ = 1;
    LegId prepared_ = NoLeg; ///< Chosen as the next server, not yet started.
    LegId lastEvent_ = NoLeg; ///< Whose event is being handled.
    std::uint64_t nextConnection_ = 1;
    std::int64_t promptTokens_ = 0;
    std::int64_t maxTokens_ = 0; ///< 0: unknown.
    RecoveryMethod moveMethod_ = RecoveryMethod::Recompute;
    int failedMoves_ = 0; ///< Since the last switch.
    Duration betweenTokens_{0};
    TimePoint lastHeard_{};
    bool isExporting_ = false; ///< The current leg's cache, for prepared_.
    bool resuming_ = false; ///< Joined again, and no token yet.
};

} // namespace cardamomlift::recovery
