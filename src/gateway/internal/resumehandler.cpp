#include "gateway/resumehandler.h"

#include "gateway/chatstream.h"

#include <charconv>
#include <optional>

namespace cardamomlift::gateway {

namespace {

constexpr std::string_view RequestsPrefix = "/v1/requests/";
constexpr Duration RetryAfterShort = std::chrono::seconds(1);

std::optional<std::uint64_t> readNumber(std::string_view text)
{
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return number;
}

/// Position of the first token to send: the one after the query parameter "starting_after" or, without that, after the
/// Last-Event-ID header; 0 without either. Empty if the value is not a number.
std::optional<std::uint64_t> readPosition(const http::Request &request)
{
    const auto query = request.query.find("starting_after");
    std::string_view last = http::headerValue(request.headers, "Last-Event-ID");
    if (query != request.query.end()) {
        last = query->second;
    }
    if (last.empty() || last == "-1") {
        return 0;
    }
    const auto number = readNumber(last);
    return number ? std::optional(*number + 1) : std::nullopt;
}

} // namespace

std::unique_ptr<ResumeHandler> ResumeHandler::create(GatewayTools tools)
{
    std::unique_ptr<ResumeHandler> handler(new ResumeHandler);
    handler->tools_ = std::move(tools);
    return handler;
}

void ResumeHandler::handle(const CallerRequest &caller)
{
    const auto position = readPosition(caller.http);
    if (caller.http.method != "GET" && caller.http.method != "DELETE") {
        refuse(tools_, caller.responder, {metrics::RefusalReason::UnknownPath, "Use GET to resume a request, or DELETE to cancel it."});
        return;
    }
    if (!position) {
        refuse(tools_, caller.responder, {metrics::RefusalReason::BadField, "\"starting_after\" must be the id of an event."});
        return;
    }
    const std::string requestId = caller.http.path.substr(RequestsPrefix.size());
    const auto &customer = caller.contract->contract.customer;
    tools_.streamRegistry->find(
        requestId, customer, [this, caller, position = *position](const streams::FindResult &result) { onFound(caller, position, result); });
}

void ResumeHandler::onFound(const CallerRequest &caller, std::uint64_t position, const streams::FindResult &result)
{
    if (result.outcome == streams::FindOutcome::RetryLater) {
        CallerError error{
            metrics::RefusalReason::NotReady, "The request is being moved to another VM. Try to resume it again.", RetryAfterShort, ErrorOutcome::Unknown};
        refuse(tools_, caller.responder, error);
        return;
    }
    if (result.outcome == streams::FindOutcome::NotFound) {
        CallerError error{metrics::RefusalReason::UnknownRequest, "There is no such request, or it can no longer be resumed."};
        error.outcome = ErrorOutcome::Unknown;
        refuse(tools_, caller.responder, error);
        return;
    }
    if (caller.http.method == "DELETE") {
        result.session->giveUp({metrics::RefusalReason::UnknownRequest, "The request was cancelled.", Duration(0)});
        caller.responder->respond({204, {}, {}});
        return;
    }
    tools_.metrics->add("requests_resumed_total");
    streamTo(tools_, result.session, caller.responder, position);
}

} // namespace cardamomlift::gateway
