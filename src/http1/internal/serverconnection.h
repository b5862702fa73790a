#pragma once

#include "http1/httpserver.h"
#include "http1/socket.h"

namespace cardamomlift::http1 {

class ServerConnection;

/// State shared by all connections of one server.
struct ServerState {
    EventLoop *loop = nullptr;
    ServerLimits limits;
    ServerHandlers handlers;
    bool keepAliveDisabled = false;
    std::size_t openExchanges = 0;
    std::shared_ptr<clientbudget::ClientBudget> budget;
    /// Removes a closed connection from the server.
    std::function<void(ServerConnection *connection)> removeConnection;
};

/// One client connection. It implements the exchange of the request that it is reading or answering.
class ServerConnection : public Exchange, public std::enable_shared_from_this<ServerConnection>
{
public:
    /// Takes ownership of the descriptor. Null if the budget has no room for another connection.
    static std::shared_ptr<ServerConnection> create(std::shared_ptr<ServerState> server, int descriptor);
    ~ServerConnection() override;

    const RequestHead &head() const override;
    const std::string &body() const override;
    TimePoint startedAt() const override;
    void onDisconnected(std::function<void()> handler) override;
    void answer(ResponseHead head, std::string_view body) override;
    void begin(ResponseHead head) override;
    void beginUnframed(ResponseHead head) override;
    void send(std::string_view part) override;
    void end() override;
    void abort() override;
    void setHandlerBytes(std::size_t bytes) override;

    /// Rejects a request that is received too slowly, and closes a connection that has been idle or lingering for too long.
    void checkTimeouts(TimePoint now);
    void stopReading();
    bool hasUnsentResponse() const;

private:
    enum class Phase { Idle, Reading, Answering, Lingering, Ended };

    explicit ServerConnection(std::shared_ptr<ServerState> server);
    void onData(std::string_view bytes);
    void onEnd();
    void onDrained();
    void onEvicted(clientbudget::Shortage shortage);
    void appendBody(const std::string &part);
    clientbudget::Activity activity() const;
    /// Tells the budget what the connection holds now, which may end it or its request.
    void updateAccount();
    void readNextRequest();
    void readRequest(std::string_view bytes);
    void startRequest();
    void sendContinueIfExpected();
    void onRequestComplete();
    void reject(int status);
    void beginBody(const ResponseHead &head, Framing framing);
    void finishResponse();
    void startLingering();
    void closeConnection();
    void releaseRequest();
    std::shared_ptr<ServerState> server_;
    std::unique_ptr<clientbudget::ConnectionAccount> account_; ///< Null once the connection is closed.
    std::shared_ptr<Socket> socket_;
    Phase phase_ = Phase::Idle;
    std::unique_ptr<RequestReader> reader_;
    std::string body_;
    std::string pipelinedBytes_; ///< Bytes received after the request that is being answered.
    TimePoint startedAt_; ///< Of the request, or of lingering.
    TimePoint lastReceivedAt_;
    bool continueSent_ = false;
    bool closeAfterResponse_ = false;
    bool headSent_ = false;
    bool isRejecting_ = false;
    bool isWaitingForDrain_ = false; ///< The next request is read once the client has read the last answer.
    std::size_t handlerBytes_ = 0;
    Framing framing_ = Framing::Chunked; ///< Of a response whose body is sent in parts.
    std::function<void()> onDisconnected_;
};

} // namespace cardamomlift::http1
