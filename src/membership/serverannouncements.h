#pragma once

#include "backoff/backofftracker.h"
#include "http/httptypes.h"
#include "membership/members.h"

#include <memory>
#include <string>

namespace cardamomlift::membership {

/// Takes in what backend servers say of themselves in their answers, whatever the call was: that they leave, and that they accept
/// no requests of this VM for some time.
class ServerAnnouncements
{
public:
    static std::shared_ptr<ServerAnnouncements> create(std::shared_ptr<Members> members, std::shared_ptr<backoff::BackoffTracker> backoffs);
    /// The server @p instance has answered a call with @p status and @p headers.
    void note(const std::string &instance, int status, const http::Headers &headers);

private:
    ServerAnnouncements() = default;
    std::shared_ptr<Members> members_;
    std::shared_ptr<backoff::BackoffTracker> backoffs_;
};

} // namespace cardamomlift::membership
