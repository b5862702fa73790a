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

http::Response tableUnavailable(const Error &error)
{
    return errorResponse(503, "table_unavailable", error.message);
}

std::uint64_t queryNumber(const http::Query &query, std::string_view name)
{
    const auto found = query.find(name);
    return found == query.end() ? 0 : std::strtoull(found->second.c_str(), nullptr, 10);
}

} // namespace

Result<std::shared_ptr<OperatorApi>> OperatorApi::create(OperatorTools tools, http::ServerOptions options, std::shared_ptr<clientbudget::ClientBudget> budget)
{
    std::shared_ptr<OperatorApi> api(new OperatorApi);
    api->tools_ = std::move(tools);
    const auto onRequest = [raw = api.get()](http::Request request, ResponderPtr responder) {
        raw->onRequest(std::move(request), std::move(responder));
    };
    auto server = http::Server::create(*api->tools_.loop, std::move(options), onRequest, std::move(budget));
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

bool OperatorApi::isAuthorized(const http::Request &request) const
{
    if (tools_.tokenSha256.empty()) {
        return true;
    }
    const std::string_view authorization = http::headerValue(request.headers, "Authorization");
    return authorization.starts_with(BearerPrefix) && text::equalSecrets(text::sha256Hex(authorization.substr(BearerPrefix.size())), tools_.tokenSha256);
}

void OperatorApi::onRequest(http::Request request, ResponderPtr responder)
{
    if (!isAuthorized(request)) {
        responder->respond(errorResponse(401, "unknown_credential", "Missing or invalid operator token. Send it as a bearer token."));
        return;
    }
    const std::string &path = request.path;
    if (path == "/metrics" && request.method == "GET") {
        responder->respond({200, {{"Content-Type", "text/plain; version=0.0.4"}}, tools_.metrics->page()});
    } else if (path == "/v1/status" && request.method == "GET") {
        respondStatus(responder);
    } else if (path == "/v1/contracts" && request.method == "GET") {
        respondContractList(responder);
    } else if (path == "/v1/contracts" && request.method == "POST") {
        EditFlow::run({tools_.loop, tools_.store, tools_.contracts, tools_.sync, tools_.exchange}, request, responder);
    } else if (path.starts_with(ContractsPath) && request.method == "GET") {
        onContractRequest(request, responder);
    } else {
        responder->respond(errorResponse(404, "unknown_path", "No resource for this path and method."));
    }
}

void OperatorApi::onContractRequest(const http::Request &request, const ResponderPtr &responder)
{
    const std::string rest = request.path.substr(ContractsPath.size());
    const auto slash = rest.find('/');
    const std::string customer = rest.substr(0, slash);
    const std::string action = slash == std::string::npos ? std::string() : rest.substr(slash + 1);
    if (action.empty()) {
        respondContract(customer, responder);
    } else if (action == HistoryAction) {
        respondHistory(customer, queryNumber(request.query, "after"), responder);
    } else if (action == WhereAction) {
        respondRevisionStatus(customer, responder);
    } else {
        responder->respond(errorResponse(404, "unknown_path", "No resource for this path and method."));
    }
}

void OperatorApi::respondContract(const std::string &customer, const ResponderPtr &responder)
{
    tools_.store->current(customer, [responder, customer](Result<std::vector<contract::ContractVersion>> versions) {
        if (!versions) {
            responder->respond(tableUnavailable(versions.error()));
            return;
        }
        if (versions.value().empty()) {
            responder->respond(errorResponse(404, "unknown_customer", "No contract found for customer " + customer + "."));
            return;
        }
        responder->respond(http::jsonResponse(200, versionToJson(versions.value().front())));
    });
}

void OperatorApi::respondRevisionStatus(const std::string &customer, const ResponderPtr &responder)
{
    const auto entry = tools_.contracts->find(customer);
    if (!entry) {
        responder->respond(errorResponse(404, "unknown_customer", "No contract found for customer " + customer + "."));
        return;
    }
    Json::Value answer;
    answer["version"] = versionToJson(entry->version);
    addRevisionStatus(answer, *tools_.exchange, entry->version.revision);
    responder->respond(http::jsonResponse(200, answer));
}

void OperatorApi::respondHistory(const std::string &customer, std::uint64_t after, const ResponderPtr &responder)
{
    tools_.store->history(customer, after, [responder](Result<std::vector<contract::ContractVersion>> versions) {
        if (!versions) {
            responder->respond(tableUnavailable(versions.error()));
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

void OperatorApi::respondContractList(const ResponderPtr &responder)
{
    Json::Value answer;
    answer["contracts"] = Json::Value(Json::arrayValue);
    for (const auto &entry : tools_.contracts->all()) {
        answer["contracts"].append(versionToJson(entry->version));
    }
    responder->respond(http::jsonResponse(200, answer));
}

void OperatorApi::respondStatus(const ResponderPtr &responder)
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
