#include "operatorapi/operatorapi.h"

#include "contract/contractreader.h"
#include "http/json.h"
#include "operatorapi/operatorjson.h"
#include "text/digest.h"

namespace cardamomlift::operatorapi {

namespace {

constexpr std::string_view BearerPrefix = "Bearer ";
constexpr std::string_view ContractsPath = "/v1/contracts/";
constexpr std::string_view HistorySuffix = "/history";

http::Response plainError(int status, const std::string &code, const std::string &message)
{
    Json::Value body;
    body["error"]["code"] = code;
    body["error"]["message"] = message;
    return http::jsonResponse(status, body);
}

http::Response unavailable(const Error &error)
{
    return plainError(503, "table_unavailable", error.message);
}

int statusOf(contract::EditOutcome outcome)
{
    switch (outcome) {
    case contract::EditOutcome::Accepted:
        return 200;
    case contract::EditOutcome::Conflict:
        return 409;
    case contract::EditOutcome::Unknown:
        return 502;
    case contract::EditOutcome::Unavailable:
        return 503;
    }
    return 500;
}

/// The edit in @p body, or empty if a member is missing or has the wrong type.
std::optional<contract::Edit> readEdit(const Json::Value &body)
{
    if (!body.isObject() || !body["customer"].isString() || !body["text"].isString() || !body["author"].isString() || !body["editId"].isString()
        || !body["baseVersion"].isUInt64()) {
        return std::nullopt;
    }
    return contract::Edit{
        body["customer"].asString(), body["text"].asString(), body["baseVersion"].asUInt64(), body["author"].asString(), body["editId"].asString()};
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
        responder->respond(plainError(401, "unknown_credential", "Send the operators' token as a bearer token."));
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
        apply(request, responder);
    } else if (path.starts_with(ContractsPath) && path.ends_with(HistorySuffix) && request.method == "GET") {
        history(path.substr(ContractsPath.size(), path.size() - ContractsPath.size() - HistorySuffix.size()), responder);
    } else if (path.starts_with(ContractsPath) && request.method == "GET") {
        show(path.substr(ContractsPath.size()), responder);
    } else {
        responder->respond(plainError(404, "unknown_path", "There is nothing at this path."));
    }
}

void OperatorApi::apply(const http::Request &request, const ResponderPtr &responder)
{
    const auto body = http::parseJson(request.body);
    auto edit = body ? readEdit(*body) : std::nullopt;
    if (!edit) {
        responder->respond(plainError(400, "bad_edit", "Send customer, text, author, editId and baseVersion."));
        return;
    }
    Findings findings;
    const std::string file = body->get("file", edit->customer).asString();
    const contract::Contract after = contract::readContract(file, edit->text, findings);
    if (!hasErrors(findings) && after.customer != edit->customer) {
        findings.push_back({file, 0, 0, "The text is the contract of another customer.", "Apply it under the name in \"customer\"."});
    }
    const auto current = tools_.contracts->find(edit->customer);
    if (!hasErrors(findings) && current && !body->get("confirmDanger", false).asBool()) {
        findings = contract::dangerousChanges(file, current->contract, after);
    }
    if (!findings.empty()) {
        Json::Value answer;
        answer["error"]["code"] = hasErrors(findings) ? "rejected" : "needs_confirmation";
        answer["findings"] = findingsToJson(findings);
        responder->respond(http::jsonResponse(422, answer));
        return;
    }
    tools_.store->apply(std::move(*edit), [this, responder](contract::EditResult result) {
        Json::Value answer;
        answer["version"] = versionToJson(result.current);
        answer["message"] = result.message;
        responder->respond(http::jsonResponse(statusOf(result.outcome), answer));
        tools_.sync->poll();
    });
}

void OperatorApi::show(const std::string &customer, const ResponderPtr &responder)
{
    tools_.store->history(customer, [responder, customer](Result<std::vector<contract::ContractVersion>> versions) {
        if (!versions) {
            responder->respond(unavailable(versions.error()));
            return;
        }
        if (versions.value().empty()) {
            responder->respond(plainError(404, "unknown_customer", "There is no contract of " + customer + "."));
            return;
        }
        responder->respond(http::jsonResponse(200, versionToJson(versions.value().back())));
    });
}

void OperatorApi::history(const std::string &customer, const ResponderPtr &responder)
{
    tools_.store->history(customer, [responder](Result<std::vector<contract::ContractVersion>> versions) {
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
    for (const auto &entry : tools_.contracts->all()) {
        answer["contracts"][entry->contract.customer] = static_cast<Json::UInt64>(entry->version.version);
    }
    answer["vms"] = Json::Value(Json::arrayValue);
    for (const auto &[instance, vm] : tools_.members->all()) {
        Json::Value entry;
        entry["instance"] = instance;
        entry["zone"] = vm.zone;
        entry["leaving"] = vm.state != membership::VmState::Live;
        answer["vms"].append(entry);
    }
    responder->respond(http::jsonResponse(200, answer));
}

} // namespace cardamomlift::operatorapi
