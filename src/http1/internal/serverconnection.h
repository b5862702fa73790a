#pragma once

#include "http1/httpserver.h"
#include "http1/socket.h"

namespace cardamomlift::http1 {

class ServerConnection;

/// What all connections of one server share.
struct ServerState {
    EventLoop *loop = nullptr;
    ServerLimits limits;
    ServerHandlers handlers;
    bool closing = false;
    std::size_t openExchanges = 0;
    std::size_t bodyBytesHeld = 0;
    /// Forgets a connection that has ended.
    std::function<void(ServerConnection *connection)> forget;
};

/// One connection of a caller. It is the exchange of the request that it reads or answers.
class ServerConnection : public Exchange, public std::enable_shared_from_this<ServerConnection>
{
public:
    static std::shared_ptr<ServerConnection> create(std::shared_ptr<ServerState> server, int descriptor);
    ~ServerConnection() override;

    const RequestHead &head() const override;
    const std::string &body() const override;
    TimePoint startedAt() const override;
    void onDisconnected(std::function<void()> handler) override;
    void answer(ResponseHead head, std::string_view body) override;
    void begin(ResponseHead head) override;
    void send(std::string_view part) override;
    void end() override;
    void abort() override;

    /// Ends the connection if it has been silent, or slow, for too long.
    void checkTime(TimePoint now);
    void stopReading();

private:
    enum class Phase { Idle, Reading, Answering, Lingering, Ended };

    explicit ServerConnection(std::shared_ptr<ServerState> server);
    void onData(std::string_view bytes);
    void onEnd();
    void readRequest(std::string_view bytes);
    void startRequest();
    void continueIfAsked();
    void onRequestRead();
    void reject(int status);
    void finishAnswer();
    void startLingering();
    void closeNow();
    void dropRequest();
    std::shared_ptr<ServerState> server_;
    std::shared_ptr<Socket> socket_;
    Phase phase_ = Phase::Idle;
    std::unique_ptr<RequestReader> reader_;
    std::string body_;
    std::string waiting_; ///< Bytes behind the request that is being answered.
    TimePoint startedAt_;
    TimePoint lastByteAt_;
    bool continueSent_ = false;
    bool closeAfter_ = false;
    bool headSent_ = false;
    std::function<void()> gone_;
};

} // namespace cardamomlift::http1
