#include "gateway/chatstream.h"

#include "gateway/chatformat.h"

namespace cardamomlift::gateway {

namespace {

/// The connection of the caller who reads a session now. Owned by the session's observer, so it must not own the session.
struct Reader {
    GatewayTools tools;
    streams::StreamSession *session = nullptr;
    std::shared_ptr<http::Responder> responder;
    ChunkFrame frame;
    std::function<void()> tokenHandler; ///< May be empty.
    bool isCurrent = true; ///< False when another connection reads the session, or this one was given up.

    void startHead()
    {
        if (responder->isStreaming()) {
            return;
        }
        http::Headers headers{{"Content-Type", "text/event-stream"}, {"Cache-Control", "no-cache"}};
        addServedBy(headers, tools.instance, session->state());
        responder->startStream(200, std::move(headers));
    }

    void onToken(std::uint64_t position, const std::string &text)
    {
        if (tokenHandler) {
            tokenHandler();
        }
        startHead();
        responder->write(tokenEvent(frame, position, text));
        if (responder->bufferedBytes() > tools.callerBufferBytes) {
            tools.metrics->add("slow_callers_total");
            giveUp();
        }
    }

    void onFinished()
    {
        startHead();
        responder->write(endEvents(session->state()));
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

    /// The caller is gone, or does not read: rather than buffer for it, let it resume.
    void giveUp()
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

void addServedBy(http::Headers &headers, const std::string &instance, const streams::StreamState &state)
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
    auto reader = std::make_shared<Reader>(Reader{tools, session.get(), responder, chunkFrame(session->state()), std::move(onToken)});
    streams::StreamObserver observer;
    observer.onToken = [reader](std::uint64_t at, const std::string &text) {
        reader->onToken(at, text);
    };
    observer.onFinished = [reader] {
        reader->onFinished();
    };
    observer.onFailed = [reader](const streams::StreamFailure &failure) {
        reader->onFailed(failure);
    };
    observer.onReplaced = [reader] {
        reader->onReplaced();
    };
    // NOTE The session may be gone by the time the connection ends, the reader too.
    responder->onClosed([weak = std::weak_ptr<Reader>(reader), weakSession = std::weak_ptr(session)] {
        const auto current = weak.lock();
        const auto alive = weakSession.lock();
        if (current && alive) {
            current->giveUp();
        }
    });
    session->attach(position, std::move(observer));
}

} // namespace cardamomlift::gateway
