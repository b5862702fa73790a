#include "forwarding/forwarder.h"

#include "forwarding/internal/forwardedrequest.h"

#include <algorithm>

namespace cardamomlift::forwarding {

namespace {

/// For this long after the drain begins, requests are accepted whatever their deadline: callers notice the drain within this
/// time, and nearly all streams started by then end within the grace period.
constexpr Duration AcceptAllPeriod = std::chrono::milliseconds(2500);
/// Earliest end of a reclaimable server after its drain begins: the platform gives two to three seconds' notice.
constexpr Duration MinReclaimNotice = std::chrono::milliseconds(2000);
/// The least value of maxSavedRetries(), also used while the number of VMs that share the bound is unknown.
constexpr double MinSavedRetries = 1;

/// A VM that has refused requests for want of room says so for this long. Other VMs hand none over to it meanwhile.
constexpr Duration RoomLackedMemory = std::chrono::milliseconds(500);
/// Looks at all servers of a service for late runs, in one check: each takes some 0.1 ms among a hundred servers.
constexpr std::size_t MaxLooksPerCheck = 4;
/// A check that comes so long after the one before shows that this VM itself was late: events may have come that it has not read yet.
constexpr Duration MaxCheckGap = std::chrono::milliseconds(450);

} // namespace

Forwarder::Forwarder(ForwarderTools tools)
    : tools_(std::make_shared<ForwarderTools>(std::move(tools)))
    , startedAt_(tools_->loop->now())
    , stragglers_(stragglers::StragglerTracker::create(*tools_->loop))
{
}

std::shared_ptr<Forwarder> Forwarder::create(ForwarderTools tools)
{
    std::shared_ptr<Forwarder> forwarder(new Forwarder(std::move(tools)));
    forwarder->tools_->directory->onLeaving([weak = std::weak_ptr<Forwarder>(forwarder)](const directory::ServerPtr &server) {
        if (const auto self = weak.lock()) {
            self->onServerLeaving(server);
        }
    });
    forwarder->tools_->reachability->onChange([weak = std::weak_ptr<Forwarder>(forwarder)](bool isCutOff) {
        const auto self = weak.lock();
        if (self && isCutOff) {
            self->onCutOff();
        } else if (self) {
            self->tools_->pool->closeIdle();
        }
    });
    return forwarder;
}

void Forwarder::onServerLeaving(const directory::ServerPtr &server)
{
    const directory::BackendServer &leaving = server->server;
    // A server that is neither draining nor listed any more has ended.
    const bool isRunning = leaving.state == directory::ServerState::Draining || tools_->directory->find(leaving.instance);
    if (!leaving.isReclaimable || !isRunning) {
        return;
    }
    // The server list does not always give the time, and an answer never does.
    const TimePoint endsAt = leaving.endsAt.value_or(tools_->loop->now() + MinReclaimNotice);
    for (const auto &[key, request] : open_) {
        request->onServerReclaim(leaving.instance, endsAt);
    }
}

void Forwarder::onCutOff()
{
    std::vector<std::shared_ptr<ForwardedRequest>> requests;
    requests.reserve(open_.size());
    for (const auto &[key, request] : open_) {
        requests.push_back(request);
    }
    for (const auto &request : requests) {
        request->onCutOff();
    }
}

void Forwarder::moveRunsOffOtherVersions(const std::string &service, const std::string &version, TimePoint stopAt)
{
    for (const auto &[instance, known] : tools_->directory->all()) {
        if (known->server.service != service || known->server.version == version) {
            continue;
        }
        for (const auto &[key, request] : open_) {
            request->onServerReclaim(instance, stopAt);
        }
    }
}

void Forwarder::handle(http1::ExchangePtr exchange)
{
    open(std::move(exchange), RequestSource::Caller);
}

void Forwarder::handleRelayed(http1::ExchangePtr exchange)
{
    open(std::move(exchange), RequestSource::Peer);
}

void Forwarder::open(http1::ExchangePtr exchange, RequestSource source)
{
    auto request = ForwardedRequest::create(*this, std::move(exchange), source);
    open_.emplace(request.get(), request);
    request->start();
}

bool Forwarder::lacksServerRoom() const
{
    return roomLackedAt_ && tools_->loop->now() - *roomLackedAt_ < RoomLackedMemory;
}

std::size_t Forwarder::openRequests() const
{
    return open_.size();
}

void Forwarder::beginDrain(TimePoint end)
{
    drainStartedAt_ = tools_->loop->now();
    drainEndsAt_ = end;
}

bool Forwarder::acceptsRequest(TimePoint deadline) const
{
    return !drainStartedAt_ || tools_->loop->now() - *drainStartedAt_ < AcceptAllPeriod || deadline < drainEndsAt_;
}

// Half of an even share of the slack is what the VMs may have unspent when a window begins. The other half is what their processes
// are granted within it, however often they are restarted.
double Forwarder::maxSavedRetries() const
{
    const auto count = tools_->vmCount();
    if (!count) {
        return MinSavedRetries;
    }
    return std::max(MinSavedRetries, tools_->settings.retrySlack / (2.0 * static_cast<double>(*count)));
}

double Forwarder::grantedFraction() const
{
    const std::chrono::duration<double> age = tools_->loop->now() - startedAt_;
    return std::min(1.0, age / std::chrono::duration<double>(tools_->settings.retryWindow));
}

void Forwarder::tick()
{
    const double maxSaved = maxSavedRetries();
    const double granted = maxSaved * grantedFraction();
    for (auto &[service, budget] : budgets_) {
        budget.retries.setMaxCredit(maxSaved);
        budget.retries.addCredit(std::max(0.0, granted - budget.granted));
        budget.granted = std::max(budget.granted, granted);
    }
}

stragglers::StragglerTracker &Forwarder::stragglers()
{
    return *stragglers_;
}

void Forwarder::checkStragglers()
{
    const TimePoint now = tools_->loop->now();
    const bool wasLate = stragglersCheckedAt_ && now - *stragglersCheckedAt_ > MaxCheckGap;
    stragglersCheckedAt_ = now;
    if (wasLate) {
        return;
    }
    std::vector<std::shared_ptr<ForwardedRequest>> late;
    for (const auto &[key, request] : open_) {
        if (request->isBehind() && late.size() < MaxLooksPerCheck) {
            late.push_back(request);
        }
    }
    for (const auto &request : late) {
        request->leaveSlowServer();
    }
}

void Forwarder::setSettings(const ForwardingSettings &settings)
{
    tools_->settings = settings;
}

retry::RetryBudget &Forwarder::budget(const std::string &service)
{
    const auto found = budgets_.find(service);
    if (found != budgets_.end()) {
        return found->second.retries;
    }
    const double maxSaved = maxSavedRetries();
    const double granted = maxSaved * grantedFraction();
    // There is one budget per service, and all its requests share the retries: the service stands in for the customer.
    const double maxSavedPerCustomer = tools_->settings.retrySlack;
    auto retries = retry::RetryBudget::create({tools_->settings.retryRatio, maxSaved, granted, 0, maxSavedPerCustomer});
    return budgets_.emplace(service, ServiceBudget{std::move(retries), granted}).first->second.retries;
}

// The request is freed by the event loop, because it is itself the caller of this function.
void Forwarder::forget(ForwardedRequest *request)
{
    const auto found = open_.find(request);
    if (found == open_.end()) {
        return;
    }
    tools_->loop->post([released = std::move(found->second)] {});
    open_.erase(found);
}

} // namespace cardamomlift::forwarding
