#include "operatorapi/editflow.h"

#include "http/json.h"
#include "operatorapi/operatorjson.h"

namespace cardamomlift::operatorapi {

namespace {

/// Time limit of each wait: for a majority, and for the edit to be in force everywhere.
constexpr Duration MaxWait = std::chrono::seconds(5);
constexpr Duration PollInterval = std::chrono::milliseconds(50);

int httpStatus(contract::EditOutcome outcome)
{
    switch (outcome) {
    case contract::EditOutcome::Accepted:
        return 200;
    case contract::EditOutcome::Conflict:
        return 409;
    case contract::EditOutcome::Rejected:
        return 422;
    case contract::EditOutcome::Unknown:
        return 502;
    case contract::EditOutcome::Unavailable:
        return 503;
    }
    return 500;
}

bool hasRequiredFields(const Json::Value &body)
{
    return body.isObject() && body["customer"].isString() && body["text"].isString() && body["author"].isString() && body["editId"].isString()
        && body["baseVersion"].isUInt64();
}

} // namespace

void addRevisionStatus(Json::Value &answer, const contract::ContractExchange &exchange, std::uint64_t revision)
{
    Json::UInt64 inForce = 0;
    answer["vms"] = Json::Value(Json::arrayValue);
    for (const contract::VmRevision &vm : exchange.vmRevisions()) {
        Json::Value entry;
        entry["instance"] = vm.instance;
        entry["zone"] = vm.zone;
        entry["revision"] = static_cast<Json::UInt64>(vm.revision);
        entry["inForce"] = vm.revision >= revision;
        entry["heardMsAgo"] = vm.age ? static_cast<Json::Int64>(vm.age->count() / 1000) : Json::Int64{-1};
        inForce += vm.revision >= revision ? 1 : 0;
        answer["vms"].append(entry);
    }
    answer["inForce"] = inForce;
    answer["listed"] = answer["vms"].size();
}

void EditFlow::run(EditTools tools, const http::Request &request, std::shared_ptr<http::Responder> responder)
{
    std::shared_ptr<EditFlow> flow(new EditFlow);
    flow->tools_ = std::move(tools);
    flow->responder_ = std::move(responder);
    if (!flow->parseRequest(request)) {
        flow->responder_->respond(
            errorResponse(400, "bad_edit", "Invalid edit: customer, text, author and editId must be strings, baseVersion an unsigned integer."));
        return;
    }
    const auto others = flow->tools_.contracts->all();
    const Findings findings = contract::checkEdit(flow->proposedEdit_, nullptr, others);
    if (!findings.empty()) {
        flow->respondRejected(findings);
        return;
    }
    flow->waitDeadline_ = flow->tools_.loop->now() + MaxWait;
    flow->awaitMajority();
}

bool EditFlow::parseRequest(const http::Request &request)
{
    const auto body = http::parseJson(request.body);
    if (!body || !hasRequiredFields(*body)) {
        return false;
    }
    const Json::Value &json = *body;
    edit_ = {json["customer"].asString(), json["text"].asString(), json["baseVersion"].asUInt64(), json["author"].asString(), json["editId"].asString()};
    const Json::Value file = json.get("file", edit_.customer);
    const Json::Value confirmed = json.get("confirmDanger", false);
    proposedEdit_ = {file.isString() ? file.asString() : edit_.customer, edit_.customer, edit_.text, confirmed.isBool() && confirmed.asBool()};
    return true;
}

// An edit is written only while this VM hears a majority of the entry VMs. Otherwise VMs that can't reach the table may
// keep serving because they hear one another, and would not learn of the edit.
void EditFlow::awaitMajority()
{
    if (contract::hearsMajority(tools_.exchange->freshnessInputs())) {
        write();
        return;
    }
    if (tools_.loop->now() >= waitDeadline_) {
        responder_->respond(errorResponse(503, "no_majority", "This VM does not hear a majority of the entry VMs. The edit was not written."));
        return;
    }
    tools_.loop->after(PollInterval, [self = shared_from_this()] { self->awaitMajority(); });
}

void EditFlow::write()
{
    const auto validate = [self = shared_from_this()](const contract::ContractVersion *replaced) {
        const auto others = self->tools_.contracts->all();
        return contract::checkEdit(self->proposedEdit_, replaced, others);
    };
    tools_.store->apply(edit_, validate, [self = shared_from_this()](contract::EditResult result) { self->onEditResult(std::move(result)); });
}

void EditFlow::onEditResult(contract::EditResult result)
{
    if (result.outcome == contract::EditOutcome::Rejected) {
        respondRejected(result.findings);
        return;
    }
    if (result.outcome != contract::EditOutcome::Accepted) {
        Json::Value answer;
        answer["version"] = versionToJson(result.current);
        answer["error"]["message"] = result.message;
        responder_->respond(http::jsonResponse(httpStatus(result.outcome), answer));
        return;
    }
    result_ = std::move(result);
    waitDeadline_ = tools_.loop->now() + MaxWait;
    awaitInForceEverywhere();
}

bool EditFlow::isInForceEverywhere() const
{
    for (const contract::VmRevision &vm : tools_.exchange->vmRevisions()) {
        if (vm.revision < result_.current.revision) {
            return false;
        }
    }
    return true;
}

void EditFlow::awaitInForceEverywhere()
{
    const std::uint64_t revision = result_.current.revision;
    if (isInForceEverywhere() || tools_.loop->now() >= waitDeadline_) {
        Json::Value answer;
        answer["version"] = versionToJson(result_.current);
        addRevisionStatus(answer, *tools_.exchange, revision);
        responder_->respond(http::jsonResponse(200, answer));
        return;
    }
    if (tools_.contracts->revision() < revision) {
        tools_.sync->poll();
    } else {
        tools_.exchange->promptLaggingPeers(revision);
    }
    tools_.loop->after(PollInterval, [self = shared_from_this()] { self->awaitInForceEverywhere(); });
}

void EditFlow::respondRejected(const Findings &findings)
{
    Json::Value answer;
    answer["error"]["code"] = hasErrors(findings) ? "rejected" : "needs_confirmation";
    answer["findings"] = findingsToJson(findings);
    responder_->respond(http::jsonResponse(422, answer));
}

} // namespace cardamomlift::operatorapi
