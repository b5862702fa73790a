#pragma once

#include "engine/enginetypes.h"
#include "http/client.h"
#include "membership/serverannouncements.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace cardamomlift::engine {

/// Client of the model engines: chat completions over HTTP with server-sent events, resuming and cancelling a stream by its
/// id, and the transfer of KV caches.
class EngineClient
{
public:
    virtual ~EngineClient() = default;
    /// Creates a client that reaches the engines over HTTP. @p announcements receives the head of every answer; may be null.
    static std::shared_ptr<EngineClient> create(std::shared_ptr<http::Client> client, std::shared_ptr<membership::ServerAnnouncements> announcements);

    /// Starts an attempt at @p server. hooks.onEnd is called exactly once, never from inside start().
    virtual http::CallId start(const membership::Vm &server, const EngineRequest &request, EngineHooks hooks) = 0;
    /// Attaches to the stream @p requestId of @p server, which is running or retained there, and reads it from token
    /// @p position on. Ends with Rejected if the engine does not know the stream.
    virtual http::CallId resume(const membership::Vm &server, const std::string &requestId, std::uint64_t position, EngineHooks hooks) = 0;
    /// Closes the connection and tells the engine to end the stream at once, so that no unread tokens are generated and
    /// paid for.
    virtual void cancel(const membership::Vm &server, const std::string &requestId, http::CallId call) = 0;
    /// Closes the connection but lets the stream run on at the engine, so that another VM can resume it.
    virtual void disconnect(http::CallId call) = 0;

    /// Downloads the KV cache of the running stream @p requestId in the engine's own format. The result is empty if the
    /// transfer fails, exceeds @p maxBytes or takes longer than @p timeout.
    virtual void exportKv(const membership::Vm &server,
        const std::string &requestId,
        std::size_t maxBytes,
        Duration timeout,
        std::function<void(std::optional<std::string>)> done) = 0;
    /// Uploads an exported cache to @p server, for a request whose kvFrom is @p requestId.
    virtual void importKv(
        const membership::Vm &server, const std::string &requestId, std::string cache, Duration timeout, std::function<void(bool accepted)> done) = 0;
};

} // namespace cardamomlift::engine
