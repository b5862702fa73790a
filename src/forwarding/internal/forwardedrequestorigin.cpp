#include "forwarding/internal/forwardedrequest.h"
#include "forwarding/internal/forwardingconstants.h"

#include <fmt/format.h>

#include <algorithm>

namespace cardamomlift::forwarding {

namespace {

using eventlog::Attribute;
using eventlog::Event;
using origins::FoundOrigin;
using origins::OriginSource;

/// Of a long stream the origin is told again, before other VMs forget it.
constexpr Duration OriginRefreshPeriod = origins::OriginLifetime / 2;
/// For callers of streams whose origin a VM may know that has not answered yet.
constexpr Duration UnansweredRetryAfter = std::chrono::milliseconds(200);

} // namespace

origins::StreamId ForwardedRequest::streamId() const
{
    return origins::streamId(customer_ ? customer_->name : std::string(), request_.resumedRequest.empty() ? request_.id : request_.resumedRequest);
}

// The origin of a stream that other VMs have begun, be it in an earlier attempt of the caller or in this one.
bool ForwardedRequest::mustFindOrigin() const
{
    const bool hasBegun = hasStreamStarted() || !request_.lastEventId.empty() || !request_.resumedRequest.empty();
    return tools_.origins && !origin_ && isStream() && route_->isResumable && hasBegun;
}

void ForwardedRequest::findOrigin()
{
    tools_.origins->find(streamId(), [weak = weak_from_this()](const FoundOrigin &found) {
        const auto self = weak.lock();
        if (self && !self->finished_) {
            self->onOriginAnswer(found);
        }
    });
}

void ForwardedRequest::onOriginAnswer(const FoundOrigin &found)
{
    const bool hasOneService = route_->shares.size() == 1;
    if (found.software) {
        onOriginFound(found);
        return;
    }
    if (!tools_.softwareHistory || !hasOneService) {
        findStoredOrigin(found);
        return;
    }
    tools_.softwareHistory->findOnly(service_, [weak = weak_from_this(), found](std::optional<origins::SoftwareId> software) {
        const auto self = weak.lock();
        if (!self || self->finished_) {
            return;
        }
        if (software) {
            self->onOriginFound({OriginSource::OnlyVersion, software, Duration(0)});
            return;
        }
        self->findStoredOrigin(found);
    });
}

void ForwardedRequest::findStoredOrigin(const FoundOrigin &found)
{
    tools_.origins->findStored(streamId(), [weak = weak_from_this(), found](const FoundOrigin &stored) {
        const auto self = weak.lock();
        if (self && !self->finished_) {
            self->onOriginFound(stored.software ? stored : found);
        }
    });
}

void ForwardedRequest::onOriginFound(const FoundOrigin &found)
{
    logOrigin(found);
    if (found.software) {
        origin_ = found.software;
        chooseServiceOfOrigin();
        dispatch();
        return;
    }
    if (hasStreamStarted() || runs_ > 0) {
        fail(StatusBadGateway, FailureReason::OriginUnknown);
        return;
    }
    refuse(StatusUnavailable, FailureReason::OriginUnknown, found.source == OriginSource::Unanswered ? UnansweredRetryAfter : Duration(0));
}

// A stream goes on at the service that began it, whatever its new attempt has drawn. If the route has left that service, no server is found.
void ForwardedRequest::chooseServiceOfOrigin()
{
    const auto &servers = tools_.directory->all();
    for (const auto &share : route_->shares) {
        const bool hasOrigin = std::any_of(servers.begin(), servers.end(), [&](const auto &entry) {
            return entry.second->server.service == share.service && isOfOrigin(entry.second->server);
        });
        if (hasOrigin) {
            service_ = share.service;
            return;
        }
    }
}

void ForwardedRequest::noteOrigin()
{
    if (!origin_) {
        const directory::BackendServer &server = attempt_->server->server;
        origin_ = origins::softwareId(server.service, server.version);
    }
    const TimePoint now = tools_.loop->now();
    const bool isTold = originToldAt_ && now - *originToldAt_ < OriginRefreshPeriod;
    const bool mustStore = tools_.softwareHistory && tools_.softwareHistory->mayHaveSeveral(service_);
    if (tools_.origins && route_->isResumable && (!isTold || (mustStore && !isOriginStored_))) {
        originToldAt_ = now;
        isOriginStored_ = mustStore;
        tools_.origins->noteBegun(streamId(), *origin_, mustStore);
    }
}

void ForwardedRequest::logOrigin(const FoundOrigin &found) const
{
    const auto &servers = tools_.directory->all();
    const auto server = std::find_if(servers.begin(), servers.end(), [&](const auto &entry) {
        return found.software && origins::softwareId(entry.second->server.service, entry.second->server.version) == *found.software;
    });
    tools_.metrics->add(fmt::format("streams_resumed_total{{origin=\"{}\"}}", origins::originSourceName(found.source)));
    tools_.log->write(Event::StreamOrigin,
        {{Attribute::Request, request_.id},
            {Attribute::Resumes, request_.resumedRequest},
            {Attribute::Outcome, origins::originSourceName(found.source)},
            {Attribute::Software, server == servers.end() ? std::string_view() : std::string_view(server->second->server.version)},
            {Attribute::AgeMs, toMilliseconds(found.age)},
            {Attribute::TookMs, millisecondsSince(exchange_->startedAt())}});
}

} // namespace cardamomlift::forwarding
