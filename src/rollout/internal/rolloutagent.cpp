#include "rollout/rolloutagent.h"

#include "rollout/rolloutplan.h"
#include "rollout/verdictrules.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <iterator>

namespace cardamomlift::rollout {

namespace {

using eventlog::Attribute;
using eventlog::Event;
using forwarding::Eligibility;
using forwarding::VersionPick;

/// Maximum age of the known records during a trial: the store may hold a rollback that this VM has not read yet. Records
/// relayed by other VMs are up to 2.6 s old in normal operation. With a second for the decision, this fits into the five
/// seconds of RolloutLimits::rollbackWithin.
constexpr Duration MaxRecordsAge = std::chrono::milliseconds(2800);
/// A process that reads an order this soon after its start gets no slack: the previous process on this VM may have spent it.
constexpr Duration NoSlackAfterStart = std::chrono::seconds(3);
/// Time for which the reported number of a VM's open requests is valid.
constexpr Duration OpenReportTtl = std::chrono::seconds(3);

std::int64_t milliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

/// A number between 0 and 1, uniformly distributed over the instances.
double randomFraction(std::string_view instance, rows::StoreVersion orderId)
{
    return static_cast<double>(XXH3_64bits_withSeed(instance.data(), instance.size(), orderId.number) >> 11) * 0x1.0p-53;
}

} // namespace

RolloutAgent::RolloutAgent(AgentTools tools)
    : tools_(std::move(tools))
{
}

std::shared_ptr<RolloutAgent> RolloutAgent::create(AgentTools tools)
{
    std::shared_ptr<RolloutAgent> agent(new RolloutAgent(std::move(tools)));
    RolloutAgent *raw = agent.get();
    for (const auto &[service, order] : raw->tools_.orders->all()) {
        raw->onOrder(order);
    }
    raw->tools_.orders->onOrder([weak = std::weak_ptr<RolloutAgent>(agent)](const Order &order) {
        if (const auto self = weak.lock()) {
            self->onOrder(order);
        }
    });
    return agent;
}

void RolloutAgent::onOrder(const Order &order)
{
    ServiceState &state = services_[order.service];
    tools_.log->write(Event::RolloutOrdered,
        {{Attribute::Service, order.service},
            {Attribute::Software, order.toVersion},
            {Attribute::Order, static_cast<std::int64_t>(order.id.number)},
            {Attribute::LeftMs, milliseconds(order.timeLimit)}});
    state.countedOrderId = order.id;
    const std::size_t slackSharers = tools_.upFor() < NoSlackAfterStart ? 0 : tools_.vmCount().value_or(0);
    state.budget = ExposureBudget::create(tools_.limits, slackSharers, randomFraction(tools_.instance, order.id));
    state.own.clear();
    state.peerReports.clear();
    state.looksBad = false;
}

// An order is written to the store before the servers of its version are listed. So if all rows up to a server's entry have
// been read, an order for its version would be known.
bool RolloutAgent::isVersionKnown(ServiceState &state, const directory::BackendServer &server) const
{
    if (server.version.empty() || state.knownVersions.contains(server.version)) {
        return true;
    }
    if (server.entryVersion > tools_.orders->knownUpTo()) {
        return false;
    }
    state.knownVersions.insert(server.version);
    return true;
}

VersionState RolloutAgent::versionState(const directory::BackendServer &server)
{
    ServiceState &state = services_[server.service];
    if (!isVersionKnown(state, server)) {
        return VersionState::Excluded;
    }
    return versionStateOf(server.version, tools_.orders->find(server.service), state.record ? &*state.record : nullptr);
}

Eligibility RolloutAgent::eligibility(const directory::BackendServer &server, VersionPick pick)
{
    const ServiceState &serviceState = services_[server.service];
    const Order *order = tools_.orders->find(server.service);
    if (!order && !serviceState.record && pick == VersionPick::Usual && serviceState.knownVersions.contains(server.version)) {
        // Fast path: this function is called for each server of each request, and there is rarely a rollout.
        return Eligibility::Preferred;
    }
    const VersionState versionState = this->versionState(server);
    const bool isStartingUp = serviceState.knownVersions.empty() && !order;
    if (isStartingUp && pick == VersionPick::Usual) {
        // This process has just started and has not read the orders. An unchecked server is better than none.
        return Eligibility::Fallback;
    }
    if (pick == VersionPick::OnTrial) {
        if (versionState != VersionState::OnTrial) {
            return Eligibility::None;
        }
        return services_[server.service].chosenServers.contains(server.instance) ? Eligibility::Preferred : Eligibility::Fallback;
    }
    const ServiceState &state = services_[server.service];
    const bool isMoving = state.record && state.record->phase == Phase::Moving;
    switch (versionState) {
    case VersionState::Preferred:
        return Eligibility::Preferred;
    case VersionState::Usable:
        return isMoving ? Eligibility::Fallback : Eligibility::Preferred;
    case VersionState::OnTrial:
    case VersionState::Excluded:
        return Eligibility::None;
    }
    return Eligibility::None;
}

bool RolloutAgent::servesRegularTraffic(const directory::BackendServer &server)
{
    const VersionState versionState = this->versionState(server);
    return versionState == VersionState::Usable || versionState == VersionState::Preferred;
}

std::string_view RolloutAgent::pauseReason(const ServiceState &state) const
{
    const auto confirmedAt = tools_.recordsConfirmedAt();
    if (!confirmedAt || tools_.loop->now() - *confirmedAt > MaxRecordsAge) {
        return "stale";
    }
    if (!tools_.hasLiveController()) {
        return "no_judge";
    }
    if (state.looksBad) {
        return "looks_bad";
    }
    const auto storeNow = tools_.storeNow();
    return !storeNow || *storeNow >= state.record->endsAt ? "time_over" : std::string_view();
}

bool RolloutAgent::mayRunTrial(const std::string &service, ServiceState &state)
{
    const Order *order = tools_.orders->find(service);
    if (!order || !state.record || state.record->orderId != order->id || state.record->phase != Phase::Trial) {
        return false;
    }
    const std::string_view reason = pauseReason(state);
    if (reason != state.loggedPauseReason) {
        state.loggedPauseReason = reason;
        tools_.log->write(Event::RolloutPaused,
            {{Attribute::Service, service},
                {Attribute::Order, static_cast<std::int64_t>(order->id.number)},
                {Attribute::Reason, reason.empty() ? std::string_view("resumed") : reason}});
    }
    return reason.empty();
}

VersionPick RolloutAgent::pick(const std::string &service, const std::string &route)
{
    const auto found = services_.find(service);
    if (found == services_.end() || !found->second.budget) {
        return VersionPick::Usual;
    }
    ServiceState &state = found->second;
    state.budget->addRequest(presence::nameHash(route));
    const bool isOnTrial = mayRunTrial(service, state) && chooseTrialServers(service, state) && state.budget->trySpend(presence::nameHash(route));
    return isOnTrial ? VersionPick::OnTrial : VersionPick::Usual;
}

void RolloutAgent::cancelTrial(const std::string &service, const std::string &route)
{
    const auto found = services_.find(service);
    if (found != services_.end() && found->second.budget) {
        found->second.budget->refund(presence::nameHash(route));
    }
}

std::vector<std::string> RolloutAgent::trialServers(const std::string &service)
{
    std::vector<std::string> servers;
    for (const auto &known : tools_.directory->usable(service)) {
        const bool isCold = known->server.coldUntil && tools_.loop->now() < *known->server.coldUntil;
        if (!isCold && versionState(known->server) == VersionState::OnTrial) {
            servers.push_back(known->server.instance);
        }
    }
    return servers;
}

// All VMs choose the same servers, except around the start of a slice.
bool RolloutAgent::chooseTrialServers(const std::string &service, ServiceState &state)
{
    std::vector<std::string> servers = trialServers(service);
    const TrialSlice slice = trialSlice(tools_.storeNow().value_or(Duration(0)), servers.size(), tools_.limits.exposureShare);
    if (servers.empty() || !slice.isOpen) {
        return false;
    }
    const auto rank = [&slice](const std::string &instance) {
        return XXH3_64bits_withSeed(instance.data(), instance.size(), slice.number);
    };
    std::sort(servers.begin(), servers.end(), [&rank](const std::string &a, const std::string &b) { return rank(a) < rank(b); });
    servers.resize(std::min(servers.size(), slice.servers));
    state.chosenServers = {std::make_move_iterator(servers.begin()), std::make_move_iterator(servers.end())};
    return true;
}

void RolloutAgent::noteSent(const directory::BackendServer &server)
{
    ServiceState &state = services_[server.service];
    state.open[server.version]++;
    if (state.record && !isOver(state.record->phase)) {
        const bool isNew = server.version == state.record->toVersion;
        tools_.metrics->add(fmt::format("rollout_requests_total{{service=\"{}\",version=\"{}\"}}", server.service, isNew ? "new" : "other"));
    }
}

void RolloutAgent::noteEnded(const directory::BackendServer &server)
{
    int &open = services_[server.service].open[server.version];
    open = std::max(0, open - 1);
}

void RolloutAgent::noteOutcome(const directory::BackendServer &server, const std::string &route, std::optional<Duration> timeToFirstByte)
{
    ServiceState &state = services_[server.service];
    const Order *order = tools_.orders->find(server.service);
    const bool isCounted = order && order->id == state.countedOrderId && state.record && state.record->orderId == order->id && !isOver(state.record->phase);
    if (!isCounted) {
        return;
    }
    SendOutcome outcome;
    outcome.route = presence::nameHash(route);
    outcome.timeToFirstByte = timeToFirstByte;
    if (server.version == order->toVersion) {
        outcome.trialServer = presence::nameHash(server.instance);
    }
    addOutcome(state.own, outcome);
}

void RolloutAgent::applyRecord(Record record)
{
    ServiceState &state = services_[record.service];
    const bool isOutdated = state.record && state.record->rowVersion >= record.rowVersion;
    if (isOutdated) {
        return;
    }
    state.isRecordLost = state.record && isBehind(record, *state.record);
    if (state.isRecordLost) {
        state.record->rowVersion = record.rowVersion;
        return;
    }
    const bool isNewPhase = !state.record || state.record->orderId != record.orderId || state.record->phase != record.phase;
    state.record = std::move(record);
    if (!isNewPhase) {
        return;
    }
    const Record &current = *state.record;
    const auto storeNow = tools_.storeNow();
    tools_.log->write(Event::RolloutPhase,
        {{Attribute::Service, current.service},
            {Attribute::Software, current.toVersion},
            {Attribute::Order, static_cast<std::int64_t>(current.orderId.number)},
            {Attribute::Outcome, phaseName(current.phase)},
            {Attribute::AgeMs, storeNow ? milliseconds(*storeNow - current.phaseStartedAt) : std::int64_t(-1)}});
    if (current.phase != Phase::Moving || !storeNow) {
        return;
    }
    const TimePoint stopAt = tools_.loop->now() + (otherVersionsStopAt(current) - *storeNow);
    for (const auto &handler : movingHandlers_) {
        handler(current, stopAt);
    }
}

void RolloutAgent::applyRecords(const std::vector<rows::Row> &rows)
{
    for (const rows::Row &row : rows) {
        Record record;
        if (row.isDeleted) {
            continue;
        }
        if (!decodeRecord(row.value, record)) {
            tools_.log->write(Event::RolloutUnreadable, {{Attribute::Service, row.key}});
            continue;
        }
        record.rowVersion = row.version;
        applyRecord(std::move(record));
    }
}

void RolloutAgent::applyAllRecords(const rows::TableSnapshot &whole)
{
    applyRecords(whole.rows);
    std::set<std::string_view> listed;
    for (const rows::Row &row : whole.rows) {
        listed.insert(row.key);
    }
    for (auto &[service, state] : services_) {
        if (listed.contains(service) || !state.record) {
            continue;
        }
        if (whole.reason != rows::ReadReason::StoreRestored) {
            state.record.reset();
            continue;
        }
        state.isRecordLost = true;
        state.record->rowVersion = {whole.version.era, 0};
    }
}

void RolloutAgent::onMoving(std::function<void(const Record &record, TimePoint stopAt)> handler)
{
    movingHandlers_.push_back(std::move(handler));
}

std::uint32_t RolloutAgent::ownOpenAtOtherVersions(const ServiceState &state) const
{
    std::uint32_t sum = 0;
    for (const auto &[version, open] : state.open) {
        if (state.record && version != state.record->toVersion) {
            sum += static_cast<std::uint32_t>(open);
        }
    }
    return sum;
}

void RolloutAgent::fillStatus(presence::Status &status) const
{
    for (const auto &[service, state] : services_) {
        if (!isRolloutInProgress(service)) {
            continue;
        }
        presence::RolloutReport report;
        report.service = presence::nameHash(service);
        report.order = state.countedOrderId;
        report.counts = toRolloutCounts(state.own);
        report.openAtOthers = ownOpenAtOtherVersions(state);
        status.rollouts.push_back(std::move(report));
    }
}

void RolloutAgent::receiveStatus(const presence::Status &status)
{
    for (const presence::RolloutReport &report : status.rollouts) {
        for (auto &[service, state] : services_) {
            if (presence::nameHash(service) == report.service && report.order == state.countedOrderId) {
                state.peerReports[{status.instance, status.incarnation}] = {fromRolloutCounts(report.counts), report.openAtOthers, tools_.loop->now()};
            }
        }
    }
}

void RolloutAgent::tick()
{
    for (auto &[service, state] : services_) {
        if (state.record && state.record->phase == Phase::Trial && !state.looksBad) {
            state.looksBad = evaluateTrial(outcomes(service), {}).finding == Finding::Bad;
        }
    }
}

const Record *RolloutAgent::record(std::string_view service) const
{
    const auto found = services_.find(service);
    return found == services_.end() || !found->second.record ? nullptr : &*found->second.record;
}

RolloutOutcomes RolloutAgent::outcomes(const std::string &service) const
{
    const auto found = services_.find(service);
    if (found == services_.end()) {
        return {};
    }
    RolloutOutcomes sum = found->second.own;
    for (const auto &[vm, report] : found->second.peerReports) {
        add(sum, report.outcomes);
    }
    return sum;
}

std::uint64_t RolloutAgent::openAtOtherVersions(const std::string &service) const
{
    const auto found = services_.find(service);
    if (found == services_.end()) {
        return 0;
    }
    std::uint64_t sum = ownOpenAtOtherVersions(found->second);
    for (const auto &[vm, report] : found->second.peerReports) {
        sum += tools_.loop->now() - report.receivedAt <= OpenReportTtl ? report.openAtOtherVersions : 0;
    }
    return sum;
}

bool RolloutAgent::isAnyInProgress() const
{
    return std::any_of(services_.begin(), services_.end(), [this](const auto &entry) { return isRolloutInProgress(entry.first); });
}

bool RolloutAgent::isRecordLost(std::string_view service) const
{
    const auto found = services_.find(service);
    return found != services_.end() && found->second.isRecordLost;
}

std::vector<std::string> RolloutAgent::servicesWithRecord() const
{
    std::vector<std::string> services;
    for (const auto &[service, state] : services_) {
        if (state.record) {
            services.push_back(service);
        }
    }
    return services;
}

bool RolloutAgent::isRolloutInProgress(std::string_view service) const
{
    const Order *order = tools_.orders->find(service);
    const Record *known = record(service);
    return (order && (!known || !coversOrder(*known, *order))) || (known && !isOver(known->phase));
}

} // namespace cardamomlift::rollout
