#pragma once

#include "bench/load/loadtypes.h"
#include "engine/sseparser.h"
#include "http/client.h"

#include <functional>
#include <memory>

namespace cardamomlift::bench {

/// What one request is to do.
struct CallPlan {
    RequestKind kind;
    Path path = Path::System;
    std::string url; ///< Of the entry VM or engine, without a path.
    std::uint64_t number = 0;
};

/// What a request works with. Everything outlives it.
struct CallTools {
    EventLoop *loop = nullptr;
    http::Client *client = nullptr;
    std::function<std::string()> anotherEntry; ///< The URL of an entry VM to resume at.
    std::function<void(const CallOutcome &outcome)> onEnd;
};

/// One request from its start to its end: checks every token, and resumes a stream whose connection died.
class LoadCall : public std::enable_shared_from_this<LoadCall>
{
public:
    static std::shared_ptr<LoadCall> create(CallTools tools, CallPlan plan);
    void start();

private:
    LoadCall() = default;
    void send();
    void startStream();
    void startService();
    void open(http::ClientRequest request);
    void resume();
    void onEvent(const engine::SseEvent &event);
    void onToken(std::uint64_t position, std::string_view text);
    bool sentElsewhere(const http::ClientResult &result);
    void onStreamEnd(const http::ClientResult &result);
    void onServiceEnd(const http::ClientResult &result);
    void end(CallEnd how);

    CallTools tools_;
    CallPlan plan_;
    CallOutcome outcome_;
    engine::SseParser parser_;
    std::string messages_;
    std::string requestId_;
    std::string errorBody_;
    int status_ = 0;
    bool whole_ = false;
    std::uint64_t next_ = 0; ///< Position of the token that must come next.
    TimePoint startedAt_;
    std::string idempotencyKey_;
    TimePoint lastTokenAt_;
};

} // namespace cardamomlift::bench
