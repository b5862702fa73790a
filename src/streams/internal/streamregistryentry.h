#pragma once

#include "streams/streamregistry.h"

#include <algorithm>
#include <optional>

namespace cardamomlift::streams {

/// What this VM has of one request: a session if it is the owner, else a copy.
struct StreamRegistry::Entry {
    std::string requestId;
    std::string customer;
    std::shared_ptr<StreamSession> session;
    StreamState copy; ///< Without a session.
    std::string owner;
    std::vector<std::string> places; ///< VMs that have a copy of this session.
    std::size_t bytes = 0; ///< Of the copy.
    TimePoint since;
    TimePoint copiedAt;
    TimePoint detachedAt;
    std::optional<TimePoint> endedAt;
    std::optional<TimePoint> orphanAt; ///< Since when the owner of a copy is not in the list of VMs.

    const StreamState &state() const
    {
        return session ? session->state() : copy;
    }

    Holding holding() const
    {
        return {session ? Role::Owner : Role::Copy, owner, state().generation, state().tokens.size()};
    }

    void addPlace(const std::string &instance)
    {
        if (std::find(places.begin(), places.end(), instance) == places.end()) {
            places.push_back(instance);
        }
    }
};

/// One search for a request, over several VMs.
struct StreamRegistry::Search {
    std::string requestId;
    std::string customer;
    TakeSearch search;
    bool someDidNotAnswer = false;
};

} // namespace cardamomlift::streams
