#pragma once

#include "http/server.h"
#include "kernel/eventloop.h"
#include "standins/engine/enginetypes.h"
#include "standins/engine/kvstore.h"
#include "standins/engine/orders.h"
#include "standins/engine/scheduler.h"

#include <json/json.h>

#include <map>
#include <memory>
#include <string>

namespace cardamomlift::standins {

/// One model engine: streams chat completions whose tokens are known beforehand (standinkit::outputToken).
///
/// POST /v1/chat/completions; GET and DELETE /v1/streams/{id}; GET and PUT /v1/kv/{id}; POST /v1/orders; GET /load;
/// GET /cache-events?after=n; and for tests POST /control {"leaving":true,"tokenMs":n,
/// "announcesLeaving":true,"retryAfter":"s"}, GET /totals.
class Engine
{
public:
    static std::unique_ptr<Engine> create(EventLoop &loop, EngineOptions options);
    void handle(const http::Request &request, const std::shared_ptr<http::Responder> &responder);

private:
    using ResponderPtr = std::shared_ptr<http::Responder>;
    Engine(EventLoop &loop, EngineOptions options);
    void handleStream(const http::Request &request, const std::string &id, const ResponderPtr &responder);
    void handleKv(const http::Request &request, const std::string &id, const ResponderPtr &responder);
    void start(const http::Request &request, const ResponderPtr &responder);
    void resume(const http::Request &request, const StreamPtr &stream, const ResponderPtr &responder);
    void setReader(const StreamPtr &stream, const ResponderPtr &responder);
    void send(const StreamPtr &stream);
    void cancel(const std::string &id);
    void exportKv(const std::string &id, const ResponderPtr &responder);
    void importKv(const std::string &id, const std::string &body, const ResponderPtr &responder);
    void control(const Json::Value &json);
    Json::Value totals() const;
    Json::Value loadJson();
    EventLoop *loop_;
    EngineOptions options_;
    EngineTotals totals_;
    KvStore kv_;
    Orders orders_;
    Scheduler scheduler_;
    bool leaving_ = false;
    bool announcesLeaving_ = false; ///< The heads of streams say that the engine leaves; it still accepts requests.
    std::string retryAfter_; ///< Requests are refused with this Retry-After; empty: they are accepted.
    std::map<std::string, StreamPtr> streams_;
};

} // namespace cardamomlift::standins
