#pragma once

#include "kernel/eventloop.h"
#include "pace/pacetypes.h"
#include "presence/presencetypes.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace cardamomlift::pace {

/// Learns how fast each backend server works, from the observations of all entry VMs and from what servers announce. Servers are
/// known by instance, so a server that starts again is a new one.
class PaceTracker
{
public:
    static std::shared_ptr<PaceTracker> create(EventLoop &loop);

    /// A server has announced in an answer how long work takes there now: 1 as usual, 2 twice as long.
    void noteAnnounced(const std::string &instance, double factor);
    /// @p events further events of a stream took @p time, from the event before them.
    void noteEvents(const std::string &instance, const std::string &service, std::size_t events, Duration time);
    /// A whole plain answer took @p time.
    void noteAnswer(const std::string &instance, const std::string &service, Duration time);
    /// The first byte of an answer came @p time after the request was sent; @p prefillTokens of its prompt were expected not to be cached.
    void noteFirstByte(const std::string &service, std::int64_t prefillTokens, Duration time);

    /// @p server: presence::nameHash() of the instance.
    PaceEstimate paceOf(std::uint64_t server, const std::string &service) const;
    /// Empty while there are too few observations.
    std::optional<FirstByteModel> firstByteModel(const std::string &service) const;

    /// What this VM has observed, for its next status.
    std::vector<presence::ServerPace> pacesToShare() const;
    /// The same for the time to the first byte.
    std::vector<presence::ServiceFirstByte> firstBytesToShare() const;
    /// Takes in the status of another VM, or the summary of a group; replaces what it said before.
    void applyPeer(const presence::Status &status);
    /// Removes what is too old to matter. To be called a few times a second.
    void tick();

private:
    explicit PaceTracker(EventLoop &loop);
    EventLoop &loop_;
};

} // namespace cardamomlift::pace
