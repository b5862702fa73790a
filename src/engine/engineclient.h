#pragma once

#include "engine/enginetypes.h"
#include "http/client.h"
#include "membership/membershiptypes.h"

#include <memory>

namespace cardamomlift::engine {

/// Speaks with model engines: chat completions over HTTP with server-sent events, plus resume and cancel by stream id.
class EngineClient
{
public:
    static std::shared_ptr<EngineClient> create(std::shared_ptr<http::Client> client);

    /// Starts an attempt at @p server. onEnd is called exactly once.
    http::CallId start(const membership::Vm &server, const EngineRequest &request, EngineHooks hooks);
    /// Joins the running or kept stream @p requestId of @p server at @p position (the first token wanted).
    http::CallId resume(const membership::Vm &server, const std::string &requestId, std::uint64_t position, EngineHooks hooks);
    /// Closes our side; the engine ends the stream at once (it is told, so that nobody pays for it).
    void cancel(const membership::Vm &server, const std::string &requestId, http::CallId call);
    /// Closes our side and leaves the engine's stream running, for another VM to resume.
    void leave(http::CallId call);

private:
    EngineClient() = default;
    http::CallId open(http::ClientRequest request, EngineHooks hooks);
    std::shared_ptr<http::Client> client_;
};

} // namespace cardamomlift::engine
