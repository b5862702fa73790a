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

/// Records older than this may have been rolled back meanwhile. Knowledge by way of other VMs is up to 2.6 s old when all is
/// well; with a second for the verdict it fits into the five seconds of a rollback.
constexpr Duration RecordsFreshFor = std::chrono::milliseconds(2800);
/// A process that learns of an order so soon after its start may have had its part of the slack in an earlier process.
constexpr Duration YoungFor = std::chrono::seconds(3);
/// What a VM told of its open requests counts for this long.
constexpr Duration OpenLife = std::chrono::seconds(3);

std::int64_t milliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

double drawOf(std::string_view instance, rows::StoreVersion order)
{
    return static_cast<double>(XXH3_64bits_withSeed(instance.data(), instance.size(), order.number) >> 11) * 0x1.0p-53;
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
    state.countedFor = order.id;
    const std::size_t sharers = tools_.upFor() < YoungFor ? 0 : tools_.vmCount().value_or(0);
    state.budget = ExposureBudget::create(tools_.limits, sharers, drawOf(tools_.instance, order.id));
    state.own.clear();
    state.told.clear();
    state.looksBad = false;
}

// An order stands in the store before the servers that it is about: what is known up to a server's entry decides.
bool RolloutAgent::isVersionKnown(ServiceState &state, const directory::BackendServer &server) const
{
    if (server.version.empty() || state.metVersions.contains(server.version)) {
        return true;
    }
    if (server.listedAs > tools_.orders->knownUpTo()) {
        return false;
    }
    state.metVersions.insert(server.version);
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
    const ServiceState &known = services_[server.service];
    const Order *order = tools_.orders->find(server.service);
    if (!order && !known.record && pick == VersionPick::Usual && known.metVersions.contains(server.version)) {
        // Asked for each server of each request, nearly always outside of rollouts.
        return Eligibility::Preferred;
    }
    const VersionState versionState = this->versionState(server);
    const bool isFirstVersion = known.metVersions.empty() && !order;
    if (isFirstVersion && pick == VersionPick::Usual) {
        // This process has just begun: a server whose orders are not known yet is better than none.
        return Eligibility::Fallback;
    }
    if (pick == VersionPick::OnTrial) {
        if (versionState != VersionState::OnTrial) {
            return Eligibility::None;
        }
        return services_[server.service].chosen.contains(server.instance) ? Eligibility::Preferred : Eligibility::Fallback;
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
    if (!confirmedAt || tools_.loop->now() - *confirmedAt > RecordsFreshFor) {
        return "stale";
    }
    if (!tools_.hearsController()) {
        return "no_judge";
    }
    if (state.looksBad) {
        return "looks_bad";
    }
    const auto storeNow = tools_.storeNow();
    return !storeNow || *storeNow >= state.record->endsAt ? "time_over" : std::string_view();
}

bool RolloutAgent::mayTry(const std::string &service, ServiceState &state)
{
    const Order *order = tools_.orders->find(service);
    if (!order || !state.record || state.record->orderId != order->id || state.record->phase != Phase::Trial) {
        return false;
    }
    const std::string_view reason = pauseReason(state);
    if (reason != state.pausedFor) {
        state.pausedFor = reason;
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
    const bool isOnTrial = mayTry(service, state) && chooseTrialServers(service, state) && state.budget->take(presence::nameHash(route));
    return isOnTrial ? VersionPick::OnTrial : VersionPick::Usual;
}

void RolloutAgent::cancelTrial(const std::string &service, const std::string &route)
{
    const auto found = services_.find(service);
    if (found != services_.end() && found->second.budget) {
        found->second.budget->giveBack(presence::nameHash(route));
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

// The same on all VMs, but for the edges of a slice.
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
    state.chosen = {std::make_move_iterator(servers.begin()), std::make_move_iterator(servers.end())};
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

void RolloutAgent::noteOutcome(const directory::BackendServer &server, const std::string &route, std::optional<Duration> firstByteAfter)
{
    ServiceState &state = services_[server.service];
    const Order *order = tools_.orders->find(server.service);
    const bool isCounted = order && order->id == state.countedFor && state.record && state.record->orderId == order->id && !isOver(state.record->phase);
    if (!isCounted) {
        return;
    }
    SendOutcome outcome;
    outcome.route = presence::nameHash(route);
    outcome.firstByteAfter = firstByteAfter;
    if (server.version == order->toVersion) {
        outcome.trialServer = presence::nameHash(server.instance);
    }
    note(state.own, outcome);
}

void RolloutAgent::adopt(Record record)
{
    ServiceState &state = services_[record.service];
    const bool isOld = state.record && state.record->rowVersion >= record.rowVersion;
    if (isOld) {
        return;
    }
    state.isRecordLost = state.record && isBehind(record, *state.record);
    if (state.isRecordLost) {
        state.record->rowVersion = record.rowVersion;
        return;
    }
    const bool isChange = !state.record || state.record->orderId != record.orderId || state.record->phase != record.phase;
    state.record = std::move(record);
    if (!isChange) {
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
        adopt(std::move(record));
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
        presence::RolloutReport news;
        news.service = presence::nameHash(service);
        news.order = state.countedFor;
        news.counts = toRolloutCounts(state.own);
        news.openAtOthers = ownOpenAtOtherVersions(state);
        status.rollouts.push_back(std::move(news));
    }
}

void RolloutAgent::receiveStatus(const presence::Status &status)
{
    for (const presence::RolloutReport &news : status.rollouts) {
        for (auto &[service, state] : services_) {
            if (presence::nameHash(service) == news.service && news.order == state.countedFor) {
                state.told[{status.instance, status.incarnation}] = {fromRolloutCounts(news.counts), news.openAtOthers, tools_.loop->now()};
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
    for (const auto &[vm, told] : found->second.told) {
        add(sum, told.outcomes);
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
    for (const auto &[vm, told] : found->second.told) {
        sum += tools_.loop->now() - told.at <= OpenLife ? told.openAtOtherVersions : 0;
    }
    return sum;
}

bool RolloutAgent::isAnyUnderWay() const
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
