#include "claims/internal/claimwire.h"

#include "claims/claims.pb.h"

namespace cardamomlift::claims {

namespace {

wire::HolderState toWire(HolderState state)
{
    switch (state) {
    case HolderState::NotHeld:
        return wire::NOT_HELD;
    case HolderState::Running:
        return wire::RUNNING;
    case HolderState::Answered:
        return wire::ANSWERED;
    case HolderState::NotRun:
        return wire::NOT_RUN;
    case HolderState::NoAnswer:
    case HolderState::Unknown:
        return wire::UNKNOWN;
    }
    return wire::UNKNOWN;
}

HolderState fromWire(wire::HolderState state)
{
    switch (state) {
    case wire::NOT_HELD:
        return HolderState::NotHeld;
    case wire::RUNNING:
        return HolderState::Running;
    case wire::ANSWERED:
        return HolderState::Answered;
    case wire::NOT_RUN:
        return HolderState::NotRun;
    default:
        return HolderState::Unknown;
    }
}

} // namespace

std::string encodeQuery(const HolderQuery &query)
{
    wire::Ask message;
    message.set_boot(query.bootId);
    message.set_nonce(query.nonce);
    message.set_wait_ms(std::chrono::duration_cast<std::chrono::milliseconds>(query.wait).count());
    return message.SerializeAsString();
}

std::optional<HolderQuery> decodeQuery(const std::string &payload)
{
    wire::Ask message;
    if (!message.ParseFromString(payload) || message.nonce().empty()) {
        return std::nullopt;
    }
    return HolderQuery{message.boot(), message.nonce(), std::chrono::milliseconds(message.wait_ms())};
}

std::string encodeAnswer(const HolderAnswer &answer)
{
    wire::AskReply message;
    message.set_state(toWire(answer.state));
    message.set_status(answer.response.status);
    message.set_content_type(answer.response.contentType);
    message.set_body(answer.response.body);
    message.set_body_kept(answer.response.hasBody);
    return message.SerializeAsString();
}

HolderAnswer decodeAnswer(const std::string &payload)
{
    wire::AskReply message;
    if (!message.ParseFromString(payload) || message.state() == wire::UNSPECIFIED) {
        return {};
    }
    HolderAnswer answer;
    answer.state = fromWire(message.state());
    answer.response = {message.status(), message.content_type(), message.body(), message.body_kept()};
    return answer;
}

} // namespace cardamomlift::claims
