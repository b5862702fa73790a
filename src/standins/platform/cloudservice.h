#pragma once

#include "fleet/cloudformat.h"
#include "http/server.h"
#include "kernel/eventloop.h"

#include <json/json.h>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace cardamomlift::standins {

/// How the cloud misbehaves; set by POST /control/cloud.
struct CloudFaults {
    std::set<std::string> refusedZones; ///< No reclaimable VM is sold there.
    bool loseAnswers = false; ///< Orders take effect, their answers are lost.
    std::int64_t startMs = 200; ///< From the order to a live VM.
    std::int64_t startsAtOnce = 4; ///< The weight store serves so many VMs at a time; others wait.
};

/// The cloud's stand-in: instances under project and zone, and what each kind of VM costs.
class CloudService
{
public:
    using VmChanged = std::function<void(const fleet::FleetVm &vm, bool isGone)>;
    /// @p onChange is told of each VM that gets live or is gone, for the list of VMs.
    static std::unique_ptr<CloudService> create(EventLoop &loop, VmChanged onChange);
    void handle(const http::Request &request, const std::shared_ptr<http::Responder> &responder);
    void control(const Json::Value &json);
    Json::Value totals() const;

private:
    using ResponderPtr = std::shared_ptr<http::Responder>;
    CloudService() = default;
    void list(const ResponderPtr &responder);
    void offers(const ResponderPtr &responder);
    void insert(const http::Request &request, const ResponderPtr &responder);
    void remove(const std::string &name, const ResponderPtr &responder);
    void startNext();
    void answer(int status, const ResponderPtr &responder);
    EventLoop *loop_ = nullptr;
    VmChanged onChange_;
    CloudFaults faults_;
    std::vector<fleet::Offer> offers_;
    std::map<std::string, fleet::FleetVm> vms_;
    std::vector<std::string> waiting_;
    std::int64_t starting_ = 0;
    std::uint64_t inserted_ = 0;
    std::uint64_t repeated_ = 0;
    std::uint64_t refused_ = 0;
    std::uint64_t deleted_ = 0;
};

} // namespace cardamomlift::standins
