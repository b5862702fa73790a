#include "fleet/cloudclient.h"

#include "fleet/cloudformat.h"
#include "http/json.h"

#include <fmt/format.h>

namespace cardamomlift::fleet {

namespace {

constexpr Duration CallTimeout = std::chrono::seconds(5);
constexpr char ProjectPath[] = "/compute/v1/projects/cardamomlift";

Error listFailure(const http::ClientResult &result)
{
    return failure(ErrorKind::Unavailable, fmt::format("could not read a list from the cloud API: status {} {}", result.status, result.error));
}

/// Reads each entry of the array @p name with @p readOne; skips entries that can't be read.
template<class Entry, class ReadOne>
Result<std::vector<Entry>> readEntries(const http::ClientResult &result, const char *name, ReadOne readOne)
{
    const auto json = result.status == 200 ? http::parseJson(result.body) : std::nullopt;
    if (result.transport != http::Transport::Completed || !json || !json->isObject()) {
        return listFailure(result);
    }
    std::vector<Entry> entries;
    const Json::Value &list = (*json)[name];
    for (const Json::Value &entry : list) {
        if (auto read = readOne(entry)) {
            entries.push_back(std::move(*read));
        }
    }
    return entries;
}

CloudOrderOutcome orderOutcome(const http::ClientResult &result)
{
    if (result.transport == http::Transport::NotSent) {
        return CloudOrderOutcome::Refused;
    }
    if (result.transport != http::Transport::Completed || result.status >= 500) {
        return CloudOrderOutcome::Unknown;
    }
    // 409: an earlier order with this name was accepted; 404: the VM to delete no longer exists.
    const bool isDone = result.status < 300 || result.status == 409 || result.status == 404;
    return isDone ? CloudOrderOutcome::Done : CloudOrderOutcome::Refused;
}

} // namespace

std::shared_ptr<CloudClient> CloudClient::create(std::shared_ptr<http::Client> client, std::string endpoint)
{
    std::shared_ptr<CloudClient> cloud(new CloudClient);
    cloud->client_ = std::move(client);
    cloud->endpoint_ = std::move(endpoint);
    return cloud;
}

http::ClientRequest CloudClient::request(const char *method, const std::string &path) const
{
    http::ClientRequest request;
    request.method = method;
    request.url = endpoint_ + ProjectPath + path;
    request.timeout = CallTimeout;
    return request;
}

void CloudClient::list(std::function<void(Result<std::vector<FleetVm>>)> handler)
{
    http::ClientHooks hooks;
    hooks.onDone = [handler = std::move(handler)](const http::ClientResult &result) {
        handler(readEntries<FleetVm>(result, "items", &instanceFromJson));
    };
    client_->start(request("GET", "/aggregated/instances"), std::move(hooks));
}

void CloudClient::offers(std::function<void(Result<std::vector<Offer>>)> handler)
{
    http::ClientHooks hooks;
    hooks.onDone = [handler = std::move(handler)](const http::ClientResult &result) {
        handler(readEntries<Offer>(result, "offers", &offerFromJson));
    };
    client_->start(request("GET", "/aggregated/offers"), std::move(hooks));
}

void CloudClient::create(const CreateOrder &order, std::function<void(CloudOrderOutcome)> handler)
{
    http::ClientRequest http = request("POST", fmt::format("/zones/{}/instances?requestId={}", order.offer.zone, order.name));
    http.body = http::writeJson(instanceToJson({order.name, order.model, order.offer, FleetVmState::Starting}));
    http::ClientHooks hooks;
    hooks.onDone = [handler = std::move(handler)](const http::ClientResult &result) {
        handler(orderOutcome(result));
    };
    client_->start(std::move(http), std::move(hooks));
}

void CloudClient::remove(const FleetVm &vm, std::function<void(CloudOrderOutcome)> handler)
{
    http::ClientHooks hooks;
    hooks.onDone = [handler = std::move(handler)](const http::ClientResult &result) {
        handler(orderOutcome(result));
    };
    client_->start(request("DELETE", fmt::format("/zones/{}/instances/{}", vm.offer.zone, vm.name)), std::move(hooks));
}

} // namespace cardamomlift::fleet
