#include "gateway/peerrelay.h"

#include "kernel/log.h"
#include "relay/relayformat.h"
#include "relay/relayrules.h"
#include "text/digest.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <utility>

namespace cardamomlift::gateway {

namespace {

constexpr Duration ConnectTimeout = std::chrono::milliseconds(400);
/// A VM from which nothing comes for this long is given up. Longer than engines and services may take to answer.
constexpr Duration StallTimeout = std::chrono::seconds(30);
constexpr Duration RetryAfterShort = std::chrono::seconds(1);
constexpr int StatusOk = 200;

/// Header fields that concern one connection or the transfer of the body.
constexpr std::array<std::string_view, 9> ConnectionHeaders{
    "Host", "Connection", "Content-Length", "Transfer-Encoding", "Keep-Alive", "Expect", "Date", "Accept-Encoding", relay::RelayHeader};

http::Headers copyHeaders(const http::Headers &headers)
{
    http::Headers copy = headers;
    for (const std::string_view name : ConnectionHeaders) {
        if (const auto found = copy.find(name); found != copy.end()) {
            copy.erase(found);
        }
    }
    return copy;
}

std::string encode(std::string_view text, std::string_view unescaped)
{
    std::string encoded;
    for (const char c : text) {
        const bool isPlain = std::isalnum(static_cast<unsigned char>(c)) != 0 || unescaped.find(c) != std::string_view::npos;
        encoded += isPlain ? std::string(1, c) : fmt::format("%{:02X}", static_cast<unsigned char>(c));
    }
    return encoded;
}

std::string urlOf(const relay::RelayPeer &peer, const http::Request &request)
{
    std::string url = fmt::format("http://{}{}", http1::formatEndpoint(peer.endpoint), encode(request.path, "/-._~"));
    char separator = '?';
    for (const auto &[name, value] : request.query) {
        url += fmt::format("{}{}={}", std::exchange(separator, '&'), encode(name, "-._~"), encode(value, "-._~"));
    }
    return url;
}

bool isEventStream(int status, const http::Headers &headers)
{
    return status == StatusOk && http::headerValue(headers, "Content-Type").starts_with("text/event-stream");
}

/// Calls of services may have effects; a chat that is not accepted has none.
bool mayRepeat(const http::Request &request)
{
    return !request.path.starts_with("/services/");
}

} // namespace

/// One request that is handed over.
struct PeerRelay::Relay {
    http::Request request;
    std::shared_ptr<http::Responder> responder;
    std::set<std::string> tried; ///< Entry VMs that were asked.
    std::string peer; ///< The one that is asked now.
    http::CallId call = 0;
    int status = 0;
    http::Headers headers;
    std::string body;
};

std::unique_ptr<PeerRelay> PeerRelay::create(GatewayTools tools)
{
    std::unique_ptr<PeerRelay> relay(new PeerRelay);
    relay->tools_ = std::move(tools);
    return relay;
}

bool PeerRelay::takeMark(http::Request &request) const
{
    const auto found = request.headers.find(relay::RelayHeader);
    if (found == request.headers.end()) {
        return false;
    }
    // Compared by digest, so that the time does not tell how much of a guess is right.
    const bool isOfPeer = !tools_.peerToken.empty() && text::sha256Hex(found->second) == text::sha256Hex(tools_.peerToken);
    request.headers.erase(found);
    return isOfPeer;
}

http::Response PeerRelay::unavailableResponse(const CallerError &error)
{
    http::Response response = errorResponse(error);
    response.headers[std::string(relay::RelayHeader)] = std::string(relay::UnavailableMark);
    return response;
}

bool PeerRelay::shouldRelay()
{
    if (tools_.peerToken.empty() || !tools_.reachability || tools_.reachability->state() == reachability::State::Reachable) {
        return false;
    }
    return !tools_.reachability->isDirect(text::stableHash(tools_.instance, ++sequence_));
}

std::optional<relay::RelayPeer> PeerRelay::choosePeer(const std::set<std::string> &except)
{
    std::vector<relay::RelayCandidate> candidates;
    for (const membership::Vm &vm : tools_.members->peers()) {
        const bool isAlive = vm.state == membership::VmState::Live && !tools_.members->isLeaving(vm.instance)
            && tools_.members->healthOf(vm.instance) == membership::Health::Alive;
        if (isAlive && vm.port != 0 && !except.contains(vm.instance)) {
            candidates.push_back({{vm.instance, vm.zone, {vm.address, vm.port}}, 0, openRelays_[vm.instance], Duration(0)});
        }
    }
    const auto chosen = relay::chooseRelay(candidates, tools_.zone, ++sequence_);
    return chosen ? std::optional(candidates[*chosen].peer) : std::nullopt;
}

bool PeerRelay::start(const http::Request &request, const std::shared_ptr<http::Responder> &responder)
{
    const auto peer = choosePeer({});
    if (!peer) {
        return false;
    }
    auto relay = std::make_shared<Relay>();
    relay->request = request;
    relay->responder = responder;
    responder->onClosed([client = tools_.client, weak = std::weak_ptr(relay)] {
        if (const auto open = weak.lock()) {
            client->cancel(open->call);
        }
    });
    tools_.metrics->add("requests_relayed_total");
    send(relay, *peer);
    return true;
}

void PeerRelay::send(const std::shared_ptr<Relay> &relay, const relay::RelayPeer &peer)
{
    relay->peer = peer.instance;
    relay->tried.insert(peer.instance);
    relay->status = 0;
    relay->body.clear();
    openRelays_[peer.instance]++;
    http::ClientRequest request;
    request.method = relay->request.method;
    request.url = urlOf(peer, relay->request);
    request.headers = copyHeaders(relay->request.headers);
    // In requests the field holds the secret that the entry VMs share.
    request.headers[std::string(relay::RelayHeader)] = tools_.peerToken;
    request.body = relay->request.body;
    request.connectTimeout = ConnectTimeout;
    request.timeout = Duration(0);
    request.stallTimeout = StallTimeout;
    http::ClientHooks hooks;
    hooks.onHeaders = [this, relay](int status, const http::Headers &headers) {
        onHead(relay, status, headers);
    };
    hooks.onData = [this, relay](std::string_view bytes) {
        return onData(relay, bytes);
    };
    hooks.onDone = [this, relay](const http::ClientResult &result) {
        onDone(relay, result);
    };
    relay->call = tools_.client->start(std::move(request), std::move(hooks));
}

void PeerRelay::onHead(const std::shared_ptr<Relay> &relay, int status, const http::Headers &headers)
{
    relay->status = status;
    relay->headers = headers;
    partLogger("gateway")->info("Handed over. peer={} status={} request={}", relay->peer, status, http::headerValue(headers, "X-Request-Id"));
    if (isEventStream(status, headers)) {
        relay->responder->startStream(status, copyHeaders(headers));
    }
}

bool PeerRelay::onData(const std::shared_ptr<Relay> &relay, std::string_view bytes) const
{
    if (!relay->responder->isStreaming()) {
        relay->body += bytes;
        return true;
    }
    relay->responder->write(bytes);
    if (relay->responder->bufferedBytes() <= tools_.callerBufferBytes) {
        return true;
    }
    tools_.metrics->add("slow_callers_total");
    relay->responder->abort();
    return false;
}

void PeerRelay::onDone(const std::shared_ptr<Relay> &relay, const http::ClientResult &result)
{
    openRelays_[relay->peer]--;
    const auto &responder = relay->responder;
    if (responder->isClosed() || result.transport == http::Transport::Cancelled) {
        return;
    }
    const bool isComplete = result.transport == http::Transport::Completed;
    if (responder->isStreaming()) {
        if (isComplete) {
            responder->finish();
        } else {
            // A caller whose stream breaks resumes it.
            responder->abort();
        }
        return;
    }
    const bool isUnavailable = isComplete && http::headerValue(relay->headers, relay::RelayHeader) == relay::UnavailableMark;
    if (isUnavailable || result.transport == http::Transport::NotSent || (!isComplete && mayRepeat(relay->request))) {
        sendToNext(relay);
        return;
    }
    if (!isComplete) {
        fail(relay, {metrics::RefusalReason::OutcomeUnknown, "The call may have run.", RetryAfterShort, ErrorOutcome::Unknown});
        return;
    }
    responder->respond({relay->status, copyHeaders(relay->headers), std::move(relay->body)});
}

void PeerRelay::sendToNext(const std::shared_ptr<Relay> &relay)
{
    const auto peer = relay->tried.size() < relay::MaxRelays ? choosePeer(relay->tried) : std::nullopt;
    if (!peer) {
        fail(relay, {metrics::RefusalReason::NoBackend, "No VM reaches a server for this request.", RetryAfterShort});
        return;
    }
    send(relay, *peer);
}

void PeerRelay::fail(const std::shared_ptr<Relay> &relay, const CallerError &error) const
{
    tools_.metrics->refused(error.reason);
    relay->responder->respond(errorResponse(error));
}

} // namespace cardamomlift::gateway
