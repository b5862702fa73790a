#pragma once

#include "http1/channelpool.h"
#include "kernel/eventloop.h"
#include "relay/relaytypes.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cardamomlift::relay {

/// Returns the entry VMs that may take over requests: they reach servers, do not drain, and have a manifest of at least
/// @p manifestVersion in force.
using CandidateSource = std::function<std::vector<RelayCandidate>(std::uint64_t manifestVersion)>;

/// The other entry VMs that can take over requests of this one, and the connections to them.
class RelayPool
{
public:
    static std::shared_ptr<RelayPool> create(EventLoop &loop, std::string zone, CandidateSource candidates);

    /// The VM to hand a request over to, other than those in @p except; empty if there is none.
    std::optional<RelayPeer> choose(std::uint64_t manifestVersion, const std::set<std::string> &except, std::uint64_t salt, const RelayNeeds &needs) const;
    std::shared_ptr<http1::BackendChannel> acquire(const RelayPeer &peer);
    /// Ends a call on a channel of acquire(). @p isReusable: its answer was complete.
    void release(const std::string &instance, std::shared_ptr<http1::BackendChannel> channel, bool isReusable);
    /// The VM could not be reached, or could not serve the request: others are preferred for some time.
    void noteFailed(const std::string &instance);
    /// The VM had no room at servers for a request: for a short time it gets no other for that reason.
    void noteLacksRoom(const std::string &instance);
    /// Requests that are handed over now.
    int openRelays() const;
    /// Closes connections that can't be reused. To be called a few times a second.
    void tick();

private:
    struct Entry {
        int open = 0;
        TimePoint avoidUntil;
        TimePoint lacksRoomUntil;
    };
    RelayPool(EventLoop &loop, std::string zone, CandidateSource candidates);
    bool isAvoided(const std::string &instance) const;
    bool lacksRoom(const RelayCandidate &candidate) const;
    bool meets(const RelayCandidate &candidate, const RelayNeeds &needs) const;
    EventLoop &loop_;
    std::string zone_;
    CandidateSource candidates_;
    std::shared_ptr<http1::ChannelPool> channels_;
    std::map<std::string, Entry> entries_; ///< By instance.
};

} // namespace cardamomlift::relay
