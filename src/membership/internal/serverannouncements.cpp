#include "membership/serverannouncements.h"

#include "backoff/retryafter.h"
#include "kernel/log.h"

namespace cardamomlift::membership {

namespace {

constexpr int StatusUnavailable = 503;
/// Set in all answers of a server that leaves.
constexpr std::string_view LeavingHeader = "X-Leaving";
constexpr std::string_view RetryAfterHeader = "Retry-After";

} // namespace

std::shared_ptr<ServerAnnouncements> ServerAnnouncements::create(std::shared_ptr<Members> members, std::shared_ptr<backoff::BackoffTracker> backoffs)
{
    std::shared_ptr<ServerAnnouncements> announcements(new ServerAnnouncements);
    announcements->members_ = std::move(members);
    announcements->backoffs_ = std::move(backoffs);
    return announcements;
}

void ServerAnnouncements::onAnswer(std::function<void()> handler)
{
    handlers_.push_back(std::move(handler));
}

void ServerAnnouncements::note(const std::string &instance, int status, const http::Headers &headers)
{
    for (const auto &handler : handlers_) {
        handler();
    }
    if (!http::headerValue(headers, LeavingHeader).empty() && members_->markLeaving(instance, LeavingSource::Answer)) {
        partLogger("membership")->info("A server says in an answer that it leaves. server={} status={}", instance, status);
    }
    const auto length = status == StatusUnavailable ? backoff::parseRetryAfter(http::headerValue(headers, RetryAfterHeader)) : std::nullopt;
    if (length && backoffs_->begin(instance, *length)) {
        partLogger("membership")->info("A server accepts no requests of this VM for some time. server={} ms={}", instance, toMilliseconds(*length));
    }
}

} // namespace cardamomlift::membership
