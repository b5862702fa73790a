#pragma once

#include "gateway/callererrors.h"
#include "gateway/gatewaytypes.h"
#include "relay/relaytypes.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace cardamomlift::gateway {

/// Hands callers' requests, whole, to another entry VM while this one reaches no backend server. The other VM serves them as if their
/// callers had sent them there, and never hands them on.
class PeerRelay
{
public:
    static std::unique_ptr<PeerRelay> create(GatewayTools tools);

    /// Removes the mark of a handed-over request from @p request. Returns true if it bears one that another entry VM has set.
    bool takeMark(http::Request &request) const;
    /// The response to a handed-over request that this VM can't serve, so that the other VM asks the next one.
    static http::Response unavailableResponse(const CallerError &error);
    /// Whether this VM can't send requests to servers itself now.
    bool shouldRelay();
    /// Hands @p request over. Returns false, and does nothing, if there is no other VM.
    bool start(const http::Request &request, const std::shared_ptr<http::Responder> &responder);

private:
    struct Relay;
    PeerRelay() = default;
    std::optional<relay::RelayPeer> choosePeer(const std::set<std::string> &except);
    void send(const std::shared_ptr<Relay> &relay, const relay::RelayPeer &peer);
    void sendToNext(const std::shared_ptr<Relay> &relay);
    void onHead(const std::shared_ptr<Relay> &relay, int status, const http::Headers &headers);
    bool onData(const std::shared_ptr<Relay> &relay, std::string_view bytes) const;
    void onDone(const std::shared_ptr<Relay> &relay, const http::ClientResult &result);
    void fail(const std::shared_ptr<Relay> &relay, const CallerError &error) const;
    GatewayTools tools_;
    std::map<std::string, int> openRelays_; ///< By entry VM.
    std::uint64_t sequence_ = 0; ///< Of the requests seen while servers may not be reached.
};

} // namespace cardamomlift::gateway
