// The platform's stand-in: table service, list of VMs with its lag, reclaim notices, cloud.

#include "http/json.h"
#include "standinkit/standinmain.h"
#include "standins/platform/cloudservice.h"
#include "standins/platform/tableservice.h"
#include "standins/platform/vmservice.h"

namespace {

using namespace cardamomlift;

struct Platform {
    std::unique_ptr<standins::TableService> table;
    std::unique_ptr<standins::VmService> vms;
    std::unique_ptr<standins::CloudService> cloud;
    std::unique_ptr<http::Server> server;

    void control(const http::Request &request, const std::shared_ptr<http::Responder> &responder)
    {
        const Json::Value body = http::parseJson(request.body).value_or(Json::Value(Json::objectValue));
        const std::string_view path = request.path;
        constexpr std::string_view VmsPath = "/control/vms/";
        if (path == "/control/table") {
            table->control(body);
        } else if (path == "/control/cloud") {
            cloud->control(body);
        } else if (path == "/control/list") {
            vms->control(body);
        } else if (path == "/control/reclaim") {
            vms->reclaim(body["instance"].asString(), body.get("secondsLeft", 30).asInt64());
        } else if (path.starts_with(VmsPath) && request.method == "PUT") {
            vms->put(body);
        } else if (path.starts_with(VmsPath) && request.method == "DELETE") {
            vms->remove(std::string(path.substr(VmsPath.size())));
        } else {
            responder->respond({404, {}, "unknown control\n"});
            return;
        }
        responder->respond({200, {}, "ok\n"});
    }

    void handle(const http::Request &request, const std::shared_ptr<http::Responder> &responder)
    {
        const std::string_view path = request.path;
        constexpr std::string_view NoticePath = "/notice/";
        if (path == "/" && request.method == "POST") {
            table->handle(request, responder);
        } else if (path.starts_with("/compute/")) {
            cloud->handle(request, responder);
        } else if (path == "/vms") {
            vms->list(responder);
        } else if (path.starts_with(NoticePath)) {
            vms->notice(std::string(path.substr(NoticePath.size())), responder);
        } else if (path == "/totals") {
            Json::Value body;
            body["table"] = table->totals();
            body["cloud"] = cloud->totals();
            responder->respond(http::jsonResponse(200, body));
        } else if (path.starts_with("/control/")) {
            control(request, responder);
        } else {
            responder->respond({404, {}, "unknown path\n"});
        }
    }
};

Platform platform;

/// A VM of the cloud gets into the list of VMs, without a server behind it.
void onCloudChange(const fleet::FleetVm &vm, bool isGone)
{
    if (isGone) {
        platform.vms->remove(vm.name);
        return;
    }
    Json::Value json;
    json["instance"] = vm.name;
    json["address"] = "127.0.0.1";
    json["role"] = "model";
    json["zone"] = vm.offer.zone;
    json["machineClass"] = vm.offer.machineClass;
    json["reclaimable"] = vm.offer.reclaimable;
    platform.vms->put(json);
}

} // namespace

int main(int argc, char **argv)
{
    boost::program_options::options_description options("standin-platform [options]");
    options.add_options()("port", boost::program_options::value<std::uint16_t>()->default_value(0), "port; 0: a free one");
    return standinkit::standinMain(argc, argv, options, [](EventLoop &loop, const auto &values, Json::Value &ready) -> Result<void> {
        platform.table = standins::TableService::create(loop);
        platform.vms = standins::VmService::create(loop);
        platform.cloud = standins::CloudService::create(loop, &onCloudChange);
        http::ServerOptions server;
        server.port = values["port"].template as<std::uint16_t>();
        auto created = http::Server::create(
            loop, server, [](const http::Request &request, const std::shared_ptr<http::Responder> &responder) { platform.handle(request, responder); });
        if (!created) {
            return created.error();
        }
        platform.server = std::move(created.value());
        ready["port"] = platform.server->port();
        return success();
    });
}
