#pragma once

#include "backoff/backofftracker.h"
#include "http/httptypes.h"
#include "membership/members.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace cardamomlift::membership {

/// Takes in what backend servers say of themselves in their answers, whatever the call was: that they leave, and that they accept
/// no requests of this VM for some time.
class ServerAnnouncements
{
public:
    static std::shared_ptr<ServerAnnouncements> create(std::shared_ptr<Members> members, std::shared_ptr<backoff::BackoffTracker> backoffs);
    /// The server @p instance has answered a call with @p status and @p headers.
    void note(const std::string &instance, int status, const http::Headers &headers);
    /// Calls @p handler for each answer of a server.
    void onAnswer(std::function<void()> handler);

private:
    ServerAnnouncements() = default;
    std::shared_ptr<Members> members_;
    std::shared_ptr<backoff::BackoffTracker> backoffs_;
    std::vector<std::function<void()>> handlers_;
};

} // namespace cardamomlift::membership
