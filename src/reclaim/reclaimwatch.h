#pragma once

#include "http/client.h"
#include "kernel/eventloop.h"
#include "lifecycle/lifecycle.h"
#include "membership/members.h"

#include <memory>
#include <string>

namespace cardamomlift::reclaim {

/// The part of @p timeLeft, the time until this VM is reclaimed, in which streams may still finish here. The rest is reserved
/// for handing over those that are still open.
Duration drainTimeoutFor(Duration timeLeft);

/// Detects that this VM is being reclaimed, by the platform's notice or by its mark in the membership list, and starts the
/// drain.
class ReclaimWatch : public std::enable_shared_from_this<ReclaimWatch>
{
public:
    static std::shared_ptr<ReclaimWatch> create(
        EventLoop &loop, std::shared_ptr<http::Client> client, std::shared_ptr<lifecycle::Lifecycle> lifecycle, std::shared_ptr<membership::Members> members);

    /// Polls @p endpoint/notice/<this instance> every @p period. If @p endpoint is empty, only the membership list is watched.
    void start(const std::string &endpoint, Duration period);

private:
    ReclaimWatch() = default;
    void pollNotice();
    void onNotice(Duration timeLeft);
    EventLoop *loop_ = nullptr;
    std::shared_ptr<http::Client> client_;
    std::shared_ptr<lifecycle::Lifecycle> lifecycle_;
    std::shared_ptr<membership::Members> members_;
    std::string url_;
    bool isPolling_ = false;
    bool hasNotice_ = false;
};

} // namespace cardamomlift::reclaim
