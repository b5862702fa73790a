#pragma once

#include "engine/engineclient.h"
#include "kernel/eventloop.h"
#include "membership/members.h"
#include "metrics/metrics.h"
#include "retry/attemptplanner.h"
#include "streams/streamtypes.h"

#include <functional>
#include <memory>
#include <optional>

namespace cardamomlift::streams {

/// What a session works with.
struct SessionTools {
    EventLoop *loop = nullptr;
    std::shared_ptr<engine::EngineClient> engine;
    std::shared_ptr<retry::AttemptPlanner> planner;
    std::shared_ptr<metrics::Metrics> metrics;
    std::shared_ptr<membership::Members> members;
};

/// Drives one model request over its attempts, independent of the caller's connection. An observer is attached to read it.
class StreamSession : public std::enable_shared_from_this<StreamSession>
{
public:
    static std::shared_ptr<StreamSession> create(SessionTools tools, StreamState state);

    void start();
    /// Goes on with a request that another VM drove: joins the engine's stream at the next position, or tries another
    /// server if the engine no longer has it.
    void join();
    /// Gives the answer from @p position to @p observer, replacing an earlier one, which is told by onReplaced.
    void attach(std::uint64_t position, StreamObserver observer);
    /// The reader is gone. The running attempt goes on; a new one starts only when a reader attaches, so that nobody
    /// pays for an answer that nobody reads.
    void detach();
    bool isDetached() const;
    /// Ends the request; the engine's stream is cancelled.
    void cancel();
    /// Ends the request on this VM and leaves the engine's stream running for the VM that goes on with it.
    void handOver();
    /// Ends the request; its reader hears @p failure.
    void giveUp(const StreamFailure &failure);
    bool hasEnded() const;
    /// Ended by handOver() before its answer was whole.
    bool wasHandedOver() const;
    const StreamState &state() const;
    /// Called once when the session has ended, in whatever way; at once if it has.
    void onEnded(std::function<void()> handler);
    /// Called when a second or later attempt begins; state() names it.
    void onNewAttempt(std::function<void()> handler);

private:
    StreamSession() = default;
    retry::RequestRecord newRecord() const;
    /// Chooses the server of a move.
    std::optional<engine::NextAttempt> nextAttempt();
    void tryNext();
    void follow(const retry::AttemptPlan &plan);
    engine::EngineRequest beginAttempt(const membership::Vm &server);
    engine::EngineHooks hooksOf(std::size_t run);
    void onToken(std::size_t run, const engine::Token &token);
    void onEnd(std::size_t run, const engine::EngineResult &result);
    void fail(const StreamFailure &failure);
    void end();
    SessionTools tools_;
    StreamState state_;
    retry::RequestRecord record_;
    std::shared_ptr<StreamObserver> observer_; ///< Shared, since a reader may detach from inside its own call.
    std::uint64_t observerPosition_ = 0;
    std::optional<membership::Vm> server_;
    http::CallId call_ = 0;
    std::function<void()> endedHandler_;
    std::function<void()> attemptHandler_;
    std::uint64_t positionsHeard_ = 0; ///< After the last token of this attempt, also one that came too early.
    std::optional<StreamFailure> failure_;
    bool ended_ = false;
    bool wasHandedOver_ = false;
    bool isDetached_ = false;
    bool isDormant_ = false; ///< Detached, and its attempt failed: waits for a reader before it tries again.
    bool isJoining_ = false; ///< The current attempt was started by another VM.
    std::size_t run_ = 0; ///< Of the engine client's streams; each may have had several attempts.
};

} // namespace cardamomlift::streams
