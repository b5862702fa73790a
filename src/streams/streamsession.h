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

/// Dependencies of a StreamSession.
struct SessionTools {
    EventLoop *loop = nullptr;
    std::shared_ptr<engine::EngineClient> engine;
    std::shared_ptr<retry::AttemptPlanner> planner;
    std::shared_ptr<metrics::Metrics> metrics;
    std::shared_ptr<membership::Members> members;
};

/// Runs one model request over one or more attempts, independently of the caller's connection. A reader attaches an observer
/// to receive the answer.
class StreamSession : public std::enable_shared_from_this<StreamSession>
{
public:
    static std::shared_ptr<StreamSession> create(SessionTools tools, StreamState state);

    void start();
    /// Continues a request that another VM owned: resumes the engine's stream at the next position, or starts an attempt at
    /// another server if that is not possible.
    void join();
    /// Delivers the answer from @p position on to @p observer. Replaces the previous observer, whose onReplaced is called.
    void attach(std::uint64_t position, StreamObserver observer);
    /// The reader has disconnected. The running attempt continues; another one starts only once a reader attaches, so that no
    /// answer is computed, and charged for, without a reader.
    void detach();
    bool isDetached() const;
    /// Ends the request and cancels the engine's stream.
    void cancel();
    /// Ends the request on this VM, but leaves the engine's stream running for the VM that continues it.
    void handOver();
    /// Cancels the request and reports @p failure to the reader.
    void giveUp(const StreamFailure &failure);
    bool hasEnded() const;
    /// Whether handOver() ended it before its answer was complete.
    bool wasHandedOver() const;
    const StreamState &state() const;
    /// @p handler is called once when the session ends for any reason; at once if it has already ended.
    void onEnded(std::function<void()> handler);
    /// @p handler is called when the second or a later attempt is added to state().
    void onNewAttempt(std::function<void()> handler);

private:
    StreamSession() = default;
    retry::RequestRecord newRecord() const;
    /// Selects a server to move the stream to, and adds the attempt.
    std::optional<engine::NextAttempt> nextAttempt();
    void startNextAttempt();
    void applyPlan(const retry::AttemptPlan &plan);
    engine::EngineRequest addAttempt(const membership::Vm &server);
    engine::EngineHooks makeHooks(std::size_t engineStream);
    void onToken(std::size_t engineStream, const engine::Token &token);
    void onEnd(std::size_t engineStream, const engine::EngineResult &result);
    void fail(const StreamFailure &failure);
    void end();
    SessionTools tools_;
    StreamState state_;
    retry::RequestRecord record_;
    std::shared_ptr<StreamObserver> observer_; ///< Shared, since a reader may detach inside its own callback.
    std::uint64_t observerPosition_ = 0;
    std::optional<membership::Vm> server_;
    http::CallId call_ = 0;
    std::function<void()> endedHandler_;
    std::function<void()> newAttemptHandler_;
    std::uint64_t receivedEnd_ = 0; ///< One past the highest position received in this attempt, also of tokens that came out of order.
    std::optional<StreamFailure> failure_;
    bool ended_ = false;
    bool wasHandedOver_ = false;
    bool isDetached_ = false;
    bool isWaitingForReader_ = false; ///< The attempt failed while detached: the next one starts when a reader attaches.
    bool isJoining_ = false; ///< The current attempt was started by another VM.
    std::size_t engineStream_ = 0; ///< Number of the current stream of the engine client, which may span several attempts.
};

} // namespace cardamomlift::streams
