#pragma once

#include "engine/engineclient.h"
#include "kernel/eventloop.h"
#include "membership/members.h"
#include "metrics/metrics.h"
#include "recovery/recoveryestimates.h"

#include <map>
#include <memory>
#include <unordered_map>

namespace cardamomlift::recovery {

class RecoveringStream;

/// An EngineClient whose streams survive the loss of their connection and, if their hooks allow it, of their server.
///
/// When its connection breaks or stalls, a stream is resumed at the same server; when its server is leaving, it moves to another
/// one. The owner receives each position once and in order, and a single onEnd.
class RecoveringClient : public engine::EngineClient, public std::enable_shared_from_this<RecoveringClient>
{
public:
    /// @p direct communicates with the engines. Streams are checked for stalls and reclaims every @p period.
    static std::shared_ptr<RecoveringClient> create(EventLoop &loop,
        std::shared_ptr<engine::EngineClient> direct,
        std::shared_ptr<membership::Members> members,
        std::shared_ptr<metrics::Metrics> metrics,
        Duration period = std::chrono::milliseconds(100));
    ~RecoveringClient() override;

    http::CallId start(const membership::Vm &server, const engine::EngineRequest &request, engine::EngineHooks hooks) override;
    http::CallId resume(const membership::Vm &server, const std::string &requestId, std::uint64_t position, engine::EngineHooks hooks) override;
    void cancel(const membership::Vm &server, const std::string &requestId, http::CallId call) override;
    void disconnect(http::CallId call) override;
    void exportKv(const membership::Vm &server,
        const std::string &requestId,
        std::size_t limit,
        Duration timeout,
        std::function<void(std::optional<std::string>)> done) override;
    void importKv(
        const membership::Vm &server, const std::string &requestId, std::string cache, Duration timeout, std::function<void(bool accepted)> done) override;

    std::size_t openStreams() const;
    const RecoveryEstimates &estimates() const;

private:
    RecoveringClient() = default;
    std::shared_ptr<RecoveringStream> open(engine::EngineHooks hooks, http::CallId &call);
    void tick();
    void checkStreams();
    std::optional<Duration> reclaimLeft(const std::string &instance);
    EventLoop *loop_ = nullptr;
    std::shared_ptr<engine::EngineClient> direct_;
    std::shared_ptr<membership::Members> members_;
    std::shared_ptr<metrics::Metrics> metrics_;
    std::shared_ptr<RecoveryEstimates> estimates_ = std::make_shared<RecoveryEstimates>();
    std::shared_ptr<std::map<std::string, TimePoint>> stalledServers_ = std::make_shared<std::map<std::string, TimePoint>>();
    http::CallId nextCall_ = 1;
    Duration period_{0};
    TimePoint lastTick_{};
    TimerId tickTimer_ = 0;
    std::unordered_map<http::CallId, std::shared_ptr<RecoveringStream>> streams_;
    std::map<std::string, TimePoint> leavingSince_; ///< By instance; only servers with streams of this client.
};

} // namespace cardamomlift::recovery
