#pragma once

#include "http/client.h"
#include "kernel/eventloop.h"
#include "lifecycle/lifecycle.h"
#include "membership/members.h"

#include <memory>
#include <string>

namespace cardamomlift::reclaim {

/// What is left of the time a notice gives, for streams to finish here: the rest is for the last handover.
Duration drainTimeoutFor(Duration left);

/// Learns that this VM is to be reclaimed, from the platform's notice or from the list of VMs, and starts the drain.
class ReclaimWatch : public std::enable_shared_from_this<ReclaimWatch>
{
public:
    static std::shared_ptr<ReclaimWatch> create(
        EventLoop &loop, std::shared_ptr<http::Client> client, std::shared_ptr<lifecycle::Lifecycle> lifecycle, std::shared_ptr<membership::Members> members);

    /// Reads @p endpoint/notice/<this instance> every @p period. With an empty endpoint only the list is watched.
    void start(const std::string &endpoint, Duration period);

private:
    ReclaimWatch() = default;
    void read();
    void onNotice(Duration left);
    EventLoop *loop_ = nullptr;
    std::shared_ptr<http::Client> client_;
    std::shared_ptr<lifecycle::Lifecycle> lifecycle_;
    std::shared_ptr<membership::Members> members_;
    std::string url_;
    bool isReading_ = false;
    bool isNoticed_ = false;
};

} // namespace cardamomlift::reclaim
