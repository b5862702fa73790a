#pragma once

#include "http/server.h"
#include "kernel/eventloop.h"

#include <json/json.h>

#include <map>
#include <memory>
#include <string>

namespace cardamomlift::standins {

struct EngineOptions {
    std::string instance = "engine-1";
    std::int64_t tokenMs = 5; ///< Between two tokens of a stream.
    std::int64_t prefillTokensPerMs = 100;
};

struct EngineTotals {
    std::uint64_t started = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t tokens = 0;
    std::uint64_t promptTokens = 0; ///< Computed, with those of continuations.
    std::uint64_t continuedTokens = 0; ///< Output tokens given back by a continuation and computed again.
};

/// One model engine: streams chat completions whose tokens are known beforehand (standinkit::outputToken).
class Engine
{
public:
    static std::unique_ptr<Engine> create(EventLoop &loop, EngineOptions options);
    void handle(const http::Request &request, const std::shared_ptr<http::Responder> &responder);

private:
    struct Stream;
    using StreamPtr = std::shared_ptr<Stream>;
    using ResponderPtr = std::shared_ptr<http::Responder>;
    Engine() = default;
    void start(const http::Request &request, const ResponderPtr &responder);
    void resume(const http::Request &request, const ResponderPtr &responder);
    void step(const StreamPtr &stream);
    void send(const StreamPtr &stream);
    void cancel(const std::string &id);
    void control(const Json::Value &json);
    Json::Value totals() const;
    EventLoop *loop_ = nullptr;
    EngineOptions options_;
    EngineTotals totals_;
    bool leaving_ = false;
    std::map<std::string, StreamPtr> streams_;
};

} // namespace cardamomlift::standins
