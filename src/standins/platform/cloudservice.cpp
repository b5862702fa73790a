#include "standins/platform/cloudservice.h"

#include "http/json.h"

#include <algorithm>

namespace cardamomlift::standins {

std::unique_ptr<CloudService> CloudService::create(EventLoop &loop, VmChanged onChange)
{
    std::unique_ptr<CloudService> service(new CloudService);
    service->loop_ = &loop;
    service->onChange_ = std::move(onChange);
    return service;
}

void CloudService::handle(const http::Request &request, const std::shared_ptr<http::Responder> &responder)
{
    const std::string &path = request.path;
    if (path.ends_with("/aggregated/instances")) {
        list(responder);
    } else if (path.ends_with("/aggregated/offers")) {
        offers(responder);
    } else if (request.method == "POST" && path.ends_with("/instances")) {
        insert(request, responder);
    } else if (request.method == "DELETE") {
        remove(path.substr(path.rfind('/') + 1), responder);
    } else {
        responder->respond({404, {}, "unknown path\n"});
    }
}

void CloudService::list(const ResponderPtr &responder)
{
    Json::Value body;
    body["items"] = Json::Value(Json::arrayValue);
    for (const auto &[name, vm] : vms_) {
        body["items"].append(fleet::instanceToJson(vm));
    }
    responder->respond(http::jsonResponse(200, body));
}

void CloudService::offers(const ResponderPtr &responder)
{
    Json::Value body;
    body["offers"] = Json::Value(Json::arrayValue);
    for (const fleet::Offer &offer : offers_) {
        body["offers"].append(fleet::offerToJson(offer));
    }
    responder->respond(http::jsonResponse(200, body));
}

void CloudService::answer(int status, const ResponderPtr &responder)
{
    if (faults_.loseAnswers) {
        responder->abort();
        return;
    }
    responder->respond({status, {}, "{}\n"});
}

void CloudService::insert(const http::Request &request, const ResponderPtr &responder)
{
    const auto vm = fleet::instanceFromJson(http::parseJson(request.body).value_or(Json::Value()));
    if (!vm) {
        responder->respond({400, {}, "{}\n"});
        return;
    }
    if (vms_.contains(vm->name)) {
        repeated_++;
        answer(409, responder);
        return;
    }
    if (vm->offer.reclaimable && faults_.refusedZones.contains(vm->offer.zone)) {
        refused_++;
        answer(403, responder);
        return;
    }
    inserted_++;
    vms_[vm->name] = *vm;
    vms_[vm->name].state = fleet::FleetVmState::Starting;
    waiting_.push_back(vm->name);
    startNext();
    answer(200, responder);
}

void CloudService::startNext()
{
    while (starting_ < faults_.startsAtOnce && !waiting_.empty()) {
        const std::string name = waiting_.front();
        waiting_.erase(waiting_.begin());
        starting_++;
        loop_->after(std::chrono::milliseconds(faults_.startMs), [this, name] {
            starting_--;
            const auto found = vms_.find(name);
            if (found != vms_.end()) {
                found->second.state = fleet::FleetVmState::Live;
                onChange_(found->second, false);
            }
            startNext();
        });
    }
}

void CloudService::remove(const std::string &name, const ResponderPtr &responder)
{
    const auto found = vms_.find(name);
    if (found == vms_.end()) {
        answer(404, responder);
        return;
    }
    deleted_++;
    onChange_(found->second, true);
    vms_.erase(found);
    answer(200, responder);
}

void CloudService::control(const Json::Value &json)
{
    faults_.loseAnswers = json.get("loseAnswers", faults_.loseAnswers).asBool();
    faults_.startMs = json.get("startMs", static_cast<Json::Int64>(faults_.startMs)).asInt64();
    faults_.startsAtOnce = json.get("startsAtOnce", static_cast<Json::Int64>(faults_.startsAtOnce)).asInt64();
    if (json.isMember("refusedZones")) {
        faults_.refusedZones.clear();
        for (const Json::Value &zone : json["refusedZones"]) {
            faults_.refusedZones.insert(zone.asString());
        }
    }
    if (json.isMember("offers")) {
        offers_.clear();
        for (const Json::Value &entry : json["offers"]) {
            if (auto offer = fleet::offerFromJson(entry)) {
                offers_.push_back(std::move(*offer));
            }
        }
    }
    // A whole zone's VMs are taken at once.
    if (json.isMember("reclaimZone")) {
        std::erase_if(vms_, [&](const auto &entry) { return entry.second.offer.zone == json["reclaimZone"].asString() && entry.second.offer.reclaimable; });
    }
}

Json::Value CloudService::totals() const
{
    Json::Value json;
    json["inserted"] = static_cast<Json::UInt64>(inserted_);
    json["repeated"] = static_cast<Json::UInt64>(repeated_);
    json["refused"] = static_cast<Json::UInt64>(refused_);
    json["deleted"] = static_cast<Json::UInt64>(deleted_);
    json["vms"] = static_cast<Json::UInt64>(vms_.size());
    return json;
}

} // namespace cardamomlift::standins
