#include "recovery/recoveringclient.h"

#include "recovery/internal/recoveringstream.h"

#include <vector>

namespace cardamomlift::recovery {

namespace {

/// Time from the leaving mark of a server to its end: the mark does not say when the server ends, so this is the shortest notice
/// that the platform guarantees.
constexpr Duration AssumedNotice = std::chrono::seconds(2);
constexpr int PauseThresholdTicks = 5; ///< A tick that comes after more than so many periods means that this process was paused.

} // namespace

std::shared_ptr<RecoveringClient> RecoveringClient::create(EventLoop &loop,
    std::shared_ptr<engine::EngineClient> direct,
    std::shared_ptr<membership::Members> members,
    std::shared_ptr<metrics::Metrics> metrics,
    Duration period)
{
    std::shared_ptr<RecoveringClient> client(new RecoveringClient);
    client->loop_ = &loop;
    client->direct_ = std::move(direct);
    client->members_ = std::move(members);
    client->metrics_ = std::move(metrics);
    const std::weak_ptr<RecoveringClient> weak = client;
    client->period_ = period;
    client->lastTick_ = loop.now();
    client->tickTimer_ = loop.every(period, [weak] {
        if (const auto self = weak.lock()) {
            self->tick();
        }
    });
    client->members_->onChange([weak] {
        if (const auto self = weak.lock()) {
            self->checkStreams();
        }
    });
    return client;
}

RecoveringClient::~RecoveringClient()
{
    loop_->cancel(tickTimer_);
}

std::shared_ptr<RecoveringStream> RecoveringClient::open(engine::EngineHooks hooks, http::CallId &call)
{
    call = nextCall_++;
    const std::weak_ptr<RecoveringClient> weak = weak_from_this();
    const auto onTransferEnded = [weak, loop = loop_] {
        loop->post([weak] {
            if (const auto self = weak.lock()) {
                self->checkStreams();
            }
        });
    };
    StreamTools tools{loop_, direct_, members_, metrics_, estimates_, stalledServers_, onTransferEnded};
    const auto onEnded = [weak, call] {
        if (const auto self = weak.lock()) {
            self->streams_.erase(call);
        }
    };
    auto stream = std::make_shared<RecoveringStream>(std::move(tools), std::move(hooks), onEnded);
    streams_[call] = stream;
    return stream;
}

http::CallId RecoveringClient::start(const membership::Vm &server, const engine::EngineRequest &request, engine::EngineHooks hooks)
{
    http::CallId call = 0;
    open(std::move(hooks), call)->start(server, request);
    return call;
}

http::CallId RecoveringClient::resume(const membership::Vm &server, const std::string &requestId, std::uint64_t position, engine::EngineHooks hooks)
{
    http::CallId call = 0;
    open(std::move(hooks), call)->join(server, requestId, position);
    return call;
}

void RecoveringClient::cancel(const membership::Vm &, const std::string &, http::CallId call)
{
    const auto found = streams_.find(call);
    if (found != streams_.end()) {
        const auto stream = found->second;
        stream->cancel();
    }
}

void RecoveringClient::disconnect(http::CallId call)
{
    const auto found = streams_.find(call);
    if (found != streams_.end()) {
        const auto stream = found->second;
        stream->disconnect();
    }
}

void RecoveringClient::exportKv(
    const membership::Vm &server, const std::string &requestId, std::size_t limit, Duration timeout, std::function<void(std::optional<std::string>)> done)
{
    direct_->exportKv(server, requestId, limit, timeout, std::move(done));
}

void RecoveringClient::importKv(
    const membership::Vm &server, const std::string &requestId, std::string cache, Duration timeout, std::function<void(bool accepted)> done)
{
    direct_->importKv(server, requestId, std::move(cache), timeout, std::move(done));
}

std::size_t RecoveringClient::openStreams() const
{
    return streams_.size();
}

const RecoveryEstimates &RecoveringClient::estimates() const
{
    return *estimates_;
}

std::optional<Duration> RecoveringClient::reclaimLeft(const std::string &instance)
{
    if (!members_->isLeaving(instance)) {
        return std::nullopt;
    }
    const TimePoint since = leavingSince_.emplace(instance, loop_->now()).first->second;
    return std::max(Duration(0), AssumedNotice - (loop_->now() - since));
}

void RecoveringClient::tick()
{
    const TimePoint now = loop_->now();
    const bool wasPaused = now - lastTick_ > PauseThresholdTicks * period_;
    lastTick_ = now;
    if (wasPaused) {
        for (const auto &[call, stream] : streams_) {
            stream->resetStallTimer();
        }
    }
    checkStreams();
}

void RecoveringClient::checkStreams()
{
    if (streams_.empty()) {
        leavingSince_.clear();
        stalledServers_->clear();
        return;
    }
    // A stream may end and be removed while it is checked.
    std::vector<std::shared_ptr<RecoveringStream>> streams;
    streams.reserve(streams_.size());
    for (const auto &[call, stream] : streams_) {
        streams.push_back(stream);
    }
    for (const auto &stream : streams) {
        stream->checkStall();
        if (const auto left = reclaimLeft(stream->server())) {
            stream->checkReclaim(*left);
        }
    }
}

} // namespace cardamomlift::recovery
