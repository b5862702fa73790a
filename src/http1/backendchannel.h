#pragma once

#include "http1/messagereader.h"
#include "http1/socket.h"

#include <functional>
#include <memory>
#include <string>

namespace cardamomlift::http1 {

/// Why a call on a channel did not get a complete response.
enum class CallFailure {
    NotConnected, ///< The connection could not be established; nothing was sent.
    Withdrawn, ///< CallHandlers::mayStillSend returned false; nothing was sent.
    NotSent, ///< The connection ended before any byte of the request was sent.
    Broken, ///< The connection ended, or its bytes are not a valid response, after a byte of the request may have been sent.
};

/// Callbacks of one call. They may close the channel.
struct CallHandlers {
    /// Asked before the first byte is written if the call had to wait for the connection. False withdraws the call. May be unset.
    std::function<bool()> mayStillSend;
    /// True if the response belongs to this call. Any other is read to its end and discarded, and the next one is awaited.
    std::function<bool(const ResponseHead &head)> accepts;
    std::function<void(ResponseHead head)> onHead;
    std::function<void(std::string_view part)> onBody;
    std::function<void()> onComplete;
    std::function<void(CallFailure failure)> onFailure;
};

/// One connection to a server, for one call at a time. Never retries a request by itself.
class BackendChannel : public std::enable_shared_from_this<BackendChannel>
{
public:
    static std::shared_ptr<BackendChannel> connect(EventLoop &loop, const Endpoint &to, const SocketOptions &options, const ReadLimits &limits);
    ~BackendChannel();

    /// Sends @p request, a complete serialised request. @p isHead: its method is HEAD.
    void call(std::string_view request, bool isHead, CallHandlers handlers);
    /// True if another call may be made: connected or connecting, no call in progress, nothing unread or unsent, and the
    /// server's keep-alive time has not passed.
    bool isReusable() const;
    /// True once the connection was established, also after it has ended.
    bool isConnected() const;
    /// When the server will close the idle connection, less a safety margin; TimePoint::max() if it did not say.
    TimePoint reusableUntil() const;
    /// @p handler is called once if the connection ends while no call is in progress.
    void onIdleClosed(std::function<void()> handler);
    /// Closes the connection. No handler is called after that.
    void close();

private:
    BackendChannel(EventLoop &loop, const ReadLimits &limits);
    void onConnected();
    void onData(std::string_view bytes);
    void onSocketEnd(SocketEnd end);
    void readResponse(std::string_view bytes);
    void onHeadReceived();
    void deliverBody();
    void complete();
    void fail(CallFailure failure);
    void readKeepAliveTimeout();
    EventLoop &loop_;
    ReadLimits limits_;
    std::shared_ptr<Socket> socket_;
    bool connected_ = false;
    bool calling_ = false;
    bool isHead_ = false;
    bool notReusable_ = false; ///< The server closes the connection, or unexpected or unsent bytes leave it in an unknown state.
    bool headReceived_ = false;
    bool discarding_ = false; ///< The response being read is interim (1xx) or does not belong to the call, and is dropped.
    int discarded_ = 0; ///< Responses dropped during the current call.
    bool closed_ = false;
    std::unique_ptr<ResponseReader> reader_;
    CallHandlers handlers_;
    std::string waitingRequest_; ///< Written once the connection is established.
    TimePoint reusableUntil_ = TimePoint::max();
    std::function<void()> onIdleClosed_;
};

} // namespace cardamomlift::http1
