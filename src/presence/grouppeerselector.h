#pragma once

#include "kernel/clock.h"

#include <map>
#include <span>
#include <string>
#include <vector>

namespace cardamomlift::presence {

/// Selects the VMs of other groups to which this VM sends summary requests, by which of them have answered recently.
class GroupPeerSelector
{
public:
    /// The VMs to send a request to now, among @p members of one group in the order of their rank; the request is recorded for
    /// each of them. This is the first member. If its last request is unanswered, members after it follow until there are two
    /// without an unanswered request. Members that have not answered several requests are skipped for a while.
    std::vector<std::string> select(std::span<const std::string> members, TimePoint now);
    /// The first of @p members that has at most one unanswered request; the first member if there is none; empty if there are
    /// no members.
    std::string reachableMember(std::span<const std::string> members) const;
    /// Called when a datagram has come from @p instance.
    void recordAnswer(const std::string &instance);

private:
    struct RequestRecord {
        int unanswered = 0; ///< Requests in a row without an answer.
        TimePoint sentAt;
    };
    std::map<std::string, RequestRecord> requests_; ///< By VM.
};

} // namespace cardamomlift::presence
