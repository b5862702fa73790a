#include "reclaim/reclaimwatch.h"

#include "http/json.h"
#include "kernel/log.h"

#include <algorithm>

namespace cardamomlift::reclaim {

namespace {

constexpr Duration NoticeTimeout = std::chrono::milliseconds(1000);
constexpr Duration HandoverReserve = std::chrono::milliseconds(1500);
/// Assumed when this VM is only marked as leaving in the membership list, which does not say how much time is left.
constexpr Duration DefaultTimeLeft = std::chrono::seconds(10);
/// One hour; more is a mistake of the platform.
constexpr double MaxSecondsLeft = 3600;

} // namespace

Duration drainTimeoutFor(Duration timeLeft)
{
    return std::max(timeLeft - HandoverReserve, timeLeft / 2);
}

std::shared_ptr<ReclaimWatch> ReclaimWatch::create(
    EventLoop &loop, std::shared_ptr<http::Client> client, std::shared_ptr<lifecycle::Lifecycle> lifecycle, std::shared_ptr<membership::Members> members)
{
    std::shared_ptr<ReclaimWatch> watch(new ReclaimWatch);
    watch->loop_ = &loop;
    watch->client_ = std::move(client);
    watch->lifecycle_ = std::move(lifecycle);
    watch->members_ = std::move(members);
    return watch;
}

void ReclaimWatch::start(const std::string &endpoint, Duration period)
{
    const std::weak_ptr<ReclaimWatch> weak = weak_from_this();
    members_->onChange([weak] {
        const auto self = weak.lock();
        // NOTE A drain also marks this VM as leaving, which is not a sign of a reclaim.
        if (self && self->lifecycle_->phase() != lifecycle::Phase::Draining && self->members_->isLeaving(self->members_->self())) {
            self->onNotice(DefaultTimeLeft);
        }
    });
    if (endpoint.empty()) {
        return;
    }
    url_ = endpoint + "/notice/" + members_->self();
    loop_->every(period, [weak] {
        if (const auto self = weak.lock()) {
            self->pollNotice();
        }
    });
}

void ReclaimWatch::pollNotice()
{
    if (isPolling_ || hasNotice_) {
        return;
    }
    isPolling_ = true;
    http::ClientRequest request;
    request.url = url_;
    request.timeout = NoticeTimeout;
    http::ClientHooks hooks;
    hooks.onDone = [self = shared_from_this()](const http::ClientResult &result) {
        self->isPolling_ = false;
        const auto json = result.status == 200 ? http::parseJson(result.body) : std::nullopt;
        if (json && json->isObject() && (*json)["secondsLeft"].isNumeric()) {
            self->hasNotice_ = true;
            const double seconds = std::clamp((*json)["secondsLeft"].asDouble(), 0.0, MaxSecondsLeft);
            self->onNotice(std::chrono::milliseconds(static_cast<std::int64_t>(seconds * 1000)));
        }
    };
    client_->start(std::move(request), std::move(hooks));
}

void ReclaimWatch::onNotice(Duration timeLeft)
{
    partLogger("reclaim")->warn("This VM is being reclaimed. seconds={}", std::chrono::duration_cast<std::chrono::seconds>(timeLeft).count());
    lifecycle_->drain(drainTimeoutFor(timeLeft));
}

} // namespace cardamomlift::reclaim
