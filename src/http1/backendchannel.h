#pragma once

#include "http1/messagereader.h"
#include "http1/socket.h"

#include <functional>
#include <memory>
#include <string>

namespace cardamomlift::http1 {

/// Why a call on a channel got no whole response.
enum class CallFailure {
    NotConnected, ///< No connection came about; nothing was sent.
    NotSent, ///< The connection ended before a byte of the request had left.
    Broken, ///< The connection ended, or its bytes are no response, after a byte of the request may have left.
};

/// What one call on a channel reports. Handlers may close the channel.
struct CallHandlers {
    /// True if the response belongs to this call. A false one is read to its end and dropped, and the next one awaited.
    std::function<bool(const ResponseHead &head)> accepts;
    std::function<void(ResponseHead head)> onHead;
    std::function<void(std::string_view part)> onBody;
    std::function<void()> onComplete;
    std::function<void(CallFailure failure)> onFailure;
};

/// One connection to a server, for one call at a time. Never sends a request by itself again.
class BackendChannel : public std::enable_shared_from_this<BackendChannel>
{
public:
    static std::shared_ptr<BackendChannel> connect(EventLoop &loop, const Endpoint &to, const SocketOptions &options, const ReadLimits &limits);
    ~BackendChannel();

    /// Sends @p request, a whole encoded request. @p isHead: its method is HEAD.
    void call(std::string_view request, bool isHead, CallHandlers handlers);
    /// True if another call may be made: connected or connecting, no call open, nothing unread or unsent.
    bool isReusable() const;
    /// True once the connection stands.
    bool isConnected() const;
    /// When the server will close the idle connection, less a margin; far away if it did not say.
    TimePoint reusableUntil() const;
    /// Called once if the connection ends while no call is open.
    void onIdleClosed(std::function<void()> handler);
    /// Ends the connection; no handler is called any more.
    void close();

private:
    BackendChannel(EventLoop &loop, const ReadLimits &limits);
    void onData(std::string_view bytes);
    void onSocketEnd(SocketEnd end);
    void readResponse(std::string_view bytes);
    void onHeadRead();
    void passBody();
    void complete();
    void fail(CallFailure failure);
    void noteKeepAlive();
    EventLoop &loop_;
    ReadLimits limits_;
    std::shared_ptr<Socket> socket_;
    bool connected_ = false;
    bool calling_ = false;
    bool isHead_ = false;
    bool spoiled_ = false; ///< What was read or sent last leaves the connection in an unknown state.
    bool headSeen_ = false;
    bool foreign_ = false; ///< The response that is being read belongs to no open call.
    bool closed_ = false;
    std::unique_ptr<ResponseReader> reader_;
    CallHandlers handlers_;
    TimePoint reusableUntil_ = TimePoint::max();
    std::function<void()> idleEnd_;
};

} // namespace cardamomlift::http1
