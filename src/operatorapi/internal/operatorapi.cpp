#include "operatorapi/operatorapi.h"

#include "http/json.h"
#include "membership/memberstatus.h"
#include "operatorapi/editflow.h"
#include "operatorapi/operatorjson.h"
#include "text/digest.h"

namespace cardamomlift::operatorapi {

namespace {

constexpr std::string_view BearerPrefix = "Bearer ";
constexpr std::string_view ContractsPath = "/v1/contracts/";
constexpr std::string_view HistoryAction = "history";
constexpr std::string_view WhereAction = "where";

http::Response unavailable(const Error &error)
{
    return errorAnswer(503, "table_unavailable", error.message);
}

std::uint64_t numberOf(const http::Query &query, std::string_view name)
{
    const auto found = query.find(name);
    return found == query.end() ? 0 : std::strtoull(found->second.c_str(), nullptr, 10);
}

} // namespace

Result<std::shared_ptr<OperatorApi>> OperatorApi::create(OperatorTools tools, http::ServerOptions options)
{
    std::shared_ptr<OperatorApi> api(new OperatorApi);
    api->tools_ = std::move(tools);
    auto server = http::Server::create(*api->tools_.loop, std::move(options), [raw = api.get()](http::Request request, ResponderPtr responder) {
        raw->onRequest(std::move(request), std::move(responder));
    });
    if (!server) {
        return server.error();
    }
    api->server_ = std::move(server.value());
    return api;
}

std::uint16_t OperatorApi::port() const
{
    return server_->port();
}

bool OperatorApi::isAllowed(const http::Request &request) const
{
    if (tools_.tokenSha256.empty()) {
        return true;
    }
    const std::string_view authorization = http::headerValue(request.headers, "Authorization");
    return authorization.starts_with(BearerPrefix) && text::equalSecrets(text::sha256Hex(authorization.substr(BearerPrefix.size())), tools_.tokenSha256);
}

void OperatorApi::onRequest(http::Request request, ResponderPtr responder)
{
    if (!isAllowed(request)) {
        responder->respond(errorAnswer(401, "unknown_credential", "Send the operators' token as a bearer token."));
        return;
    }
    const std::string &path = request.path;
    if (path == "/metrics" && request.method == "GET") {
        responder->respond({200, {{"Content-Type", "text/plain; version=0.0.4"}}, tools_.metrics->page()});
    } else if (path == "/v1/status" && request.method == "GET") {
        status(responder);
    } else if (path == "/v1/contracts" && request.method == "GET") {
        list(responder);
    } else if (path == "/v1/contracts" && request.method == "POST") {
        EditFlow::run({tools_.loop, tools_.store, tools_.contracts, tools_.sync, tools_.exchange}, request, responder);
    } else if (path.starts_with(ContractsPath) && request.method == "GET") {
        onContract(request, responder);
    } else {
        responder->respond(errorAnswer(404, "unknown_path", "There is nothing at this path."));
    }
}

void OperatorApi::onContract(const http::Request &request, const ResponderPtr &responder)
{
    const std::string rest = request.path.substr(ContractsPath.size());
    const auto slash = rest.find('/');
    const std::string customer = rest.substr(0, slash);
    const std::string action = slash == std::string::npos ? std::string() : rest.substr(slash + 1);
    if (action.empty()) {
        show(customer, responder);
    } else if (action == HistoryAction) {
        history(customer, numberOf(request.query, "after"), responder);
    } else if (action == WhereAction) {
        where(customer, responder);
    } else {
        responder->respond(errorAnswer(404, "unknown_path", "There is nothing at this path."));
    }
}

void OperatorApi::show(const std::string &customer, const ResponderPtr &responder)
{
    tools_.store->current(customer, [responder, customer](Result<std::vector<contract::ContractVersion>> versions) {
        if (!versions) {
            responder->respond(unavailable(versions.error()));
            return;
        }
        if (versions.value().empty()) {
            responder->respond(errorAnswer(404, "unknown_customer", "There is no contract of " + customer + "."));
            return;
        }
        responder->respond(http::jsonResponse(200, versionToJson(versions.value().front())));
    });
}

void OperatorApi::where(const std::string &customer, const ResponderPtr &responder)
{
    const auto entry = tools_.contracts->find(customer);
    if (!entry) {
        responder->respond(errorAnswer(404, "unknown_customer", "There is no contract of " + customer + "."));
        return;
    }
    Json::Value answer;
    answer["version"] = versionToJson(entry->version);
    addWhere(answer, *tools_.exchange, entry->version.revision);
    responder->respond(http::jsonResponse(200, answer));
}

void OperatorApi::history(const std::string &customer, std::uint64_t after, const ResponderPtr &responder)
{
    tools_.store->history(customer, after, [responder](Result<std::vector<contract::ContractVersion>> versions) {
        if (!versions) {
            responder->respond(unavailable(versions.error()));
            return;
        }
        Json::Value answer;
        answer["versions"] = Json::Value(Json::arrayValue);
        for (const contract::ContractVersion &version : versions.value()) {
            answer["versions"].append(versionToJson(version));
        }
        responder->respond(http::jsonResponse(200, answer));
    });
}

void OperatorApi::list(const ResponderPtr &responder)
{
    Json::Value answer;
    answer["contracts"] = Json::Value(Json::arrayValue);
    for (const auto &entry : tools_.contracts->all()) {
        answer["contracts"].append(versionToJson(entry->version));
    }
    responder->respond(http::jsonResponse(200, answer));
}

void OperatorApi::status(const ResponderPtr &responder)
{
    Json::Value answer;
    answer["instance"] = tools_.instance;
    answer["phase"] = tools_.lifecycle->phase() == lifecycle::Phase::Ready ? "ready" : "not ready";
    answer["revision"] = static_cast<Json::UInt64>(tools_.contracts->revision());
    answer["freshness"] = std::string(contract::freshnessName(tools_.exchange->freshness()));
    answer["otherEntryVmsHeard"] = static_cast<Json::UInt64>(tools_.exchange->freshnessInputs().heard);
    for (const auto &entry : tools_.contracts->all()) {
        answer["contracts"][entry->contract.customer] = static_cast<Json::UInt64>(entry->version.version);
    }
    answer["vms"] = Json::Value(Json::arrayValue);
    for (const auto &[instance, vm] : tools_.members->all()) {
        answer["vms"].append(membership::memberStatus(*tools_.members, vm));
    }
    responder->respond(http::jsonResponse(200, answer));
}

} // namespace cardamomlift::operatorapi
