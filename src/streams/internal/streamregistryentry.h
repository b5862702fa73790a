#pragma once

#include "streams/streamregistry.h"

#include <algorithm>
#include <optional>

namespace cardamomlift::streams {

/// A request on this VM: a session if this VM is the owner, otherwise a copy.
struct StreamRegistry::Entry {
    std::string requestId;
    std::string customer;
    std::shared_ptr<StreamSession> session;
    StreamState copy; ///< Valid only without a session.
    std::string owner;
    std::vector<std::string> copyHolders; ///< VMs that hold a copy of this session.
    std::size_t bytes = 0; ///< Size of the copy.
    TimePoint roleSince; ///< When this VM became the owner, received the copy or handed the request over.
    TimePoint copiedAt; ///< When a copy was last sent to another VM.
    TimePoint detachedAt;
    std::optional<TimePoint> endedAt;
    std::optional<TimePoint> ownerMissingSince; ///< Since when the owner of the copy has been missing from the list of VMs.

    const StreamState &state() const
    {
        return session ? session->state() : copy;
    }

    ReplicaInfo info() const
    {
        return {session ? ReplicaRole::Owner : ReplicaRole::Copy, owner, state().generation, state().tokens.size()};
    }

    void addCopyHolder(const std::string &instance)
    {
        if (std::find(copyHolders.begin(), copyHolders.end(), instance) == copyHolders.end()) {
            copyHolders.push_back(instance);
        }
    }
};

/// A search for a request at several VMs.
struct StreamRegistry::Search {
    std::string requestId;
    std::string customer;
    TakeoverSearch search;
    bool hasUnansweredQuery = false; ///< A VM that is not leaving did not answer.
};

} // namespace cardamomlift::streams
