#pragma once

#include "engine/enginetypes.h"
#include "http/client.h"
#include "membership/membershiptypes.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace cardamomlift::engine {

/// Speaks with model engines: chat completions over HTTP with server-sent events, resume and cancel by stream id, and the
/// transfer of KV caches.
class EngineClient
{
public:
    virtual ~EngineClient() = default;
    /// The client that speaks HTTP.
    static std::shared_ptr<EngineClient> create(std::shared_ptr<http::Client> client);

    /// Starts an attempt at @p server. onEnd is called exactly once, never from inside start().
    virtual http::CallId start(const membership::Vm &server, const EngineRequest &request, EngineHooks hooks) = 0;
    /// Joins the running or kept stream @p requestId of @p server at @p position (the first token wanted). Ends with
    /// Rejected if the engine knows no such stream.
    virtual http::CallId resume(const membership::Vm &server, const std::string &requestId, std::uint64_t position, EngineHooks hooks) = 0;
    /// Closes our side; the engine ends the stream at once (it is told, so that nobody pays for it).
    virtual void cancel(const membership::Vm &server, const std::string &requestId, http::CallId call) = 0;
    /// Closes our side and leaves the engine's stream running, for another VM to resume.
    virtual void disconnect(http::CallId call) = 0;

    /// The KV cache of the running stream @p requestId, as the engine gives it; empty if it can't be had, is larger than
    /// @p limit bytes, or takes longer than @p timeout.
    virtual void exportKv(const membership::Vm &server,
        const std::string &requestId,
        std::size_t limit,
        Duration timeout,
        std::function<void(std::optional<std::string>)> done) = 0;
    /// Gives an exported cache to @p server, for a request whose kvFrom is @p requestId.
    virtual void importKv(
        const membership::Vm &server, const std::string &requestId, std::string cache, Duration timeout, std::function<void(bool accepted)> done) = 0;
};

} // namespace cardamomlift::engine
