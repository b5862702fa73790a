#include "gateway/chatstream.h"

#include "gateway/chatformat.h"

namespace cardamomlift::gateway {

namespace {

/// The connection of a caller that is reading a session. The session's observer owns it, so it must not own the session.
struct CallerConnection {
    GatewayTools tools;
    streams::StreamSession *session = nullptr;
    std::shared_ptr<http::Responder> responder;
    ChunkFrame frame;
    std::function<void()> tokenHandler; ///< Called for each token; may be empty.
    bool isCurrent = true; ///< False once another connection reads the session, or this one was aborted.

    void sendHeaders()
    {
        if (responder->isStreaming()) {
            return;
        }
        http::Headers headers{{"Content-Type", "text/event-stream"}, {"Cache-Control", "no-cache"}};
        addServingHeaders(headers, tools.instance, session->state());
        responder->startStream(200, std::move(headers));
    }

    void onToken(std::uint64_t position, const std::string &text)
    {
        if (tokenHandler) {
            tokenHandler();
        }
        sendHeaders();
        responder->write(tokenEvent(frame, position, text));
        if (responder->bufferedBytes() > tools.callerBufferBytes) {
            tools.metrics->add("slow_callers_total");
            disconnect();
        }
    }

    void onFinished()
    {
        sendHeaders();
        responder->write(finalEvents(session->state()));
        responder->finish();
    }

    void onFailed(const streams::StreamFailure &failure)
    {
        if (!responder->isStreaming()) {
            refuse(tools, responder, toCallerError(failure));
            return;
        }
        tools.metrics->refused(failure.reason);
        responder->write(errorEvent(std::string(metrics::reasonName(failure.reason)), failure.message));
        responder->finish();
    }

    /// For a caller that has disconnected or does not read: drops the connection instead of buffering more. The caller can
    /// resume the request.
    void disconnect()
    {
        if (!isCurrent) {
            return;
        }
        isCurrent = false;
        responder->abort();
        tools.streamRegistry->onReaderDisconnected(session->state().requestId);
    }

    void onReplaced()
    {
        isCurrent = false;
        responder->abort();
    }
};

} // namespace

void addServingHeaders(http::Headers &headers, const std::string &instance, const streams::StreamState &state)
{
    headers["X-Request-Id"] = state.requestId;
    headers["X-Served-By"] = instance;
    if (!state.attempts.empty()) {
        headers["X-Backend"] = state.attempts.back().server;
    }
}

CallerError toCallerError(const streams::StreamFailure &failure)
{
    return {failure.reason, failure.message, failure.retryAfter, ErrorOutcome::Unknown};
}

void refuse(const GatewayTools &tools, const std::shared_ptr<http::Responder> &responder, const CallerError &error)
{
    tools.metrics->refused(error.reason);
    responder->respond(errorResponse(error));
}

void streamTo(const GatewayTools &tools,
    const std::shared_ptr<streams::StreamSession> &session,
    const std::shared_ptr<http::Responder> &responder,
    std::uint64_t position,
    std::function<void()> onToken)
{
    auto connection = std::make_shared<CallerConnection>(CallerConnection{tools, session.get(), responder, chunkFrame(session->state()), std::move(onToken)});
    streams::StreamObserver observer;
    observer.onToken = [connection](std::uint64_t at, const std::string &text) {
        connection->onToken(at, text);
    };
    observer.onFinished = [connection] {
        connection->onFinished();
    };
    observer.onFailed = [connection](const streams::StreamFailure &failure) {
        connection->onFailed(failure);
    };
    observer.onReplaced = [connection] {
        connection->onReplaced();
    };
    // NOTE The session and its observer may already be destroyed when the connection is closed.
    responder->onClosed([weak = std::weak_ptr<CallerConnection>(connection), weakSession = std::weak_ptr(session)] {
        const auto current = weak.lock();
        const auto alive = weakSession.lock();
        if (current && alive) {
            current->disconnect();
        }
    });
    session->attach(position, std::move(observer));
}

} // namespace cardamomlift::gateway
