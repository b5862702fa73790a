#include "standins/platform/vmservice.h"

#include "http/json.h"

namespace cardamomlift::standins {

std::unique_ptr<VmService> VmService::create(EventLoop &loop)
{
    std::unique_ptr<VmService> service(new VmService);
    service->loop_ = &loop;
    service->record();
    return service;
}

void VmService::record()
{
    Json::Value list(Json::arrayValue);
    for (const auto &[instance, vm] : vms_) {
        list.append(vm);
    }
    prune();
    history_.push_back({loop_->now(), std::move(list)});
}

// Forgets what no reader can be shown any more; else filling a long list keeps a copy of it for each VM.
void VmService::prune()
{
    const TimePoint seen = loop_->now() - lag_;
    while (history_.size() > 1 && history_[1].at <= seen) {
        history_.pop_front();
    }
}

void VmService::list(const std::shared_ptr<http::Responder> &responder)
{
    if (down_) {
        responder->respond({503, {}, "down\n"});
        return;
    }
    prune();
    Json::Value body;
    body["vms"] = history_.front().vms;
    responder->respond(http::jsonResponse(200, body));
}

void VmService::notice(const std::string &instance, const std::shared_ptr<http::Responder> &responder)
{
    const auto found = notices_.find(instance);
    if (found == notices_.end()) {
        responder->respond({404, {}, "no notice\n"});
        return;
    }
    Json::Value body;
    body["secondsLeft"] = static_cast<Json::Int64>(found->second);
    responder->respond(http::jsonResponse(200, body));
}

void VmService::put(const Json::Value &vm)
{
    vms_[vm["instance"].asString()] = vm;
    record();
}

void VmService::remove(const std::string &instance)
{
    vms_.erase(instance);
    record();
}

void VmService::reclaim(const std::string &instance, std::int64_t secondsLeft)
{
    notices_[instance] = secondsLeft;
    const auto found = vms_.find(instance);
    if (found != vms_.end()) {
        found->second["state"] = "leaving";
        record();
    }
}

void VmService::control(const Json::Value &json)
{
    lag_ = std::chrono::milliseconds(json.get("lagMs", static_cast<Json::Int64>(lag_.count() / 1000)).asInt64());
    down_ = json.get("down", down_).asBool();
}

} // namespace cardamomlift::standins
