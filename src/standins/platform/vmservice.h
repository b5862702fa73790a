#pragma once

#include "http/server.h"
#include "kernel/eventloop.h"

#include <json/json.h>

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace cardamomlift::standins {

/// The platform's list of VMs, which lags, and the reclaim notice each VM reads for itself, which does not.
class VmService
{
public:
    static std::unique_ptr<VmService> create(EventLoop &loop);

    /// GET /vms: the list as it was `lagMs` ago.
    void list(const std::shared_ptr<http::Responder> &responder);
    /// GET /notice/<instance>: 200 with {"secondsLeft":…} once a reclaim was announced, else 404.
    void notice(const std::string &instance, const std::shared_ptr<http::Responder> &responder);
    /// PUT /control/vms/<instance>: adds or replaces a VM.
    void put(const Json::Value &vm);
    /// DELETE /control/vms/<instance>
    void remove(const std::string &instance);
    /// POST /control/reclaim {"instance":…,"secondsLeft":…}
    void reclaim(const std::string &instance, std::int64_t secondsLeft);
    /// POST /control/list {"lagMs":…,"down":…}
    void control(const Json::Value &json);

private:
    struct Snapshot {
        TimePoint at;
        Json::Value vms;
    };
    VmService() = default;
    void record();
    void prune();
    EventLoop *loop_ = nullptr;
    std::map<std::string, Json::Value> vms_;
    std::map<std::string, std::int64_t> notices_;
    std::deque<Snapshot> history_;
    Duration lag_{0};
    bool down_ = false;
};

} // namespace cardamomlift::standins
